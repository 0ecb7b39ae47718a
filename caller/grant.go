package caller

import "chestnutcleat.example/chestnutcleat"

// grant is the permission to run one attempt at an upstream.
type grant struct {
	upstream chestnutcleat.Upstream
	ticket   chestnutcleat.Ticket
	priority int
}
