package platform

import "chestnutcleat.example/chestnutcleat"

// Faults holds the faults to inject. PUT /faults replaces them.
type Faults struct {
	// Outage makes all calls fail.
	Outage bool `json:"outage,omitempty"`
	// Latency is the delay of each call.
	Latency chestnutcleat.Duration `json:"latency,omitempty"`
	// ResponseLossRate is the fraction of writes that take effect but whose response is lost.
	ResponseLossRate float64 `json:"lost,omitempty"`
	// RateLimit is the rate limit in calls per second; zero means no limit.
	RateLimit float64 `json:"rate,omitempty"`
	// VMListDelay is the time after which changes appear in the list of VMs.
	VMListDelay chestnutcleat.Duration `json:"lag,omitempty"`
}
