package platform

import "chestnutcleat.example/chestnutcleat"

// Faults is what the stand-in does wrong.
type Faults struct {
	// Outage refuses every call.
	Outage bool `json:"outage,omitempty"`
	// Latency delays every call.
	Latency chestnutcleat.Duration `json:"latency,omitempty"`
	// Lost is the share of writes whose response is lost after the change took effect.
	Lost float64 `json:"lost,omitempty"`
	// Rate is the number of calls per second above which calls are refused; zero means no limit.
	Rate float64 `json:"rate,omitempty"`
	// Lag delays the list of VMs.
	Lag chestnutcleat.Duration `json:"lag,omitempty"`
}
