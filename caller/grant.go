package caller

import "chestnutcleat.example/chestnutcleat"

// grant is an upstream that may run an attempt.
type grant struct {
	upstream chestnutcleat.Upstream
	ticket   chestnutcleat.Ticket
	priority int
}
