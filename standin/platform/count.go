package platform

// Count holds the numbers of calls of one client. A watch counts as one call.
type Count struct {
	Calls   int `json:"calls"`
	Reads   int `json:"reads"`
	Writes  int `json:"writes"`
	Watches int `json:"watches"`
	// Refused is the number of calls that the rate limit rejected; Calls includes them.
	Refused int `json:"refused"`
}

type callKind int

const (
	readCall callKind = iota
	writeCall
	watchCall
)

func (c *Count) add(k callKind) {
	c.Calls++
	switch k {
	case readCall:
		c.Reads++
	case writeCall:
		c.Writes++
	case watchCall:
		c.Watches++
	}
}
