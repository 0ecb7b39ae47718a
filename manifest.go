package chestnutcleat

// Manifest is the configuration of a fleet, which operators replace as a whole.
type Manifest struct {
	Revision  Revision   `json:"revision"`
	Customers []Customer `json:"customers"`
	Upstreams []Upstream `json:"upstreams"`
	Routes    []Route    `json:"routes"`
	Limits    Limits     `json:"limits"`
}
