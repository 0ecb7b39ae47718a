package chestnutcleat

// Manifest is the configuration that operators put into force.
type Manifest struct {
	Revision  Revision   `json:"revision"`
	Customers []Customer `json:"customers"`
	Upstreams []Upstream `json:"upstreams"`
	Routes    []Route    `json:"routes"`
	Limits    Limits     `json:"limits"`
}
