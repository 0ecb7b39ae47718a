package platform

// Count is the number of calls of one client; a watch counts as one however long it waits.
type Count struct {
	Calls   int `json:"calls"`
	Reads   int `json:"reads"`
	Writes  int `json:"writes"`
	Watches int `json:"watches"`
	// Refused is the part of Calls that the rate limit refused.
	Refused int `json:"refused"`
}

type kind int

const (
	read kind = iota
	write
	watch
)

func (c *Count) add(k kind) {
	c.Calls++
	switch k {
	case read:
		c.Reads++
	case write:
		c.Writes++
	case watch:
		c.Watches++
	}
}
