package chestnutcleat

// InstanceID names an instance of an upstream.
type InstanceID string

// ServiceName names a group of instances that do the same work.
type ServiceName string

// Instance is one running process of an upstream.
type Instance struct {
	ID      InstanceID    `json:"id"`
	Service ServiceName   `json:"service"`
	Address Address       `json:"address"`
	Domain  FailureDomain `json:"domain"`
	// Slots is the number of requests that the instance runs concurrently.
	Slots int `json:"slots"`
	// Leaving is set when the instance must not get new requests.
	Leaving bool `json:"leaving,omitempty"`
	// StartedAt is the start time in Unix milliseconds; it distinguishes restarts under the same id.
	StartedAt int64 `json:"born,omitempty"`
}
