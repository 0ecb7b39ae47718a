package chestnutcleat

// InstanceID names an instance of an upstream.
type InstanceID string

// ServiceName names a group of instances that do the same work.
type ServiceName string

// SoftwareVersion is a version of the software that instances run; versions have no order.
type SoftwareVersion string

// Instance is one running process of an upstream.
type Instance struct {
	ID      InstanceID    `json:"id"`
	Service ServiceName   `json:"service"`
	Address Address       `json:"address"`
	Domain  FailureDomain `json:"domain"`
	// Version is the version of the instance's software.
	Version SoftwareVersion `json:"version,omitempty"`
	// Slots is the number of requests that the instance runs concurrently.
	Slots int `json:"slots"`
	// Leaving is set when the instance must not get new requests.
	Leaving bool `json:"leaving,omitempty"`
	// StartedAt is the start time in Unix milliseconds; it distinguishes restarts under the same id.
	StartedAt int64 `json:"born,omitempty"`
}
