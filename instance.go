package chestnutcleat

// InstanceID names one run of an upstream process.
type InstanceID string

// ServiceName names a group of instances that do the same work.
type ServiceName string

// Instance is one running process of an upstream.
type Instance struct {
	ID      InstanceID    `json:"id"`
	Service ServiceName   `json:"service"`
	Address Address       `json:"address"`
	Domain  FailureDomain `json:"domain"`
	// Slots is the number of requests that it runs at the same time.
	Slots int `json:"slots"`
	// Leaving is set when the instance must get no new work.
	Leaving bool `json:"leaving,omitempty"`
	// Born is the Unix time of its start in milliseconds; an instance may start again under its id.
	Born int64 `json:"born,omitempty"`
}
