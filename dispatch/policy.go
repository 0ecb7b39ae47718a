package dispatch

// Policy selects how upstreams are chosen and queues are ordered.
type Policy string

// Policies. Round-robin and least-outstanding are baselines for comparison.
const (
	// PolicySticky keeps a program on its upstream and serves by level, then oldest program.
	PolicySticky Policy = ""
	// PolicyRoundRobin rotates over the upstreams and serves in arrival order.
	PolicyRoundRobin Policy = "round-robin"
	// PolicyLeastOutstanding takes the upstream with the fewest outstanding requests and serves in arrival order.
	PolicyLeastOutstanding Policy = "least-outstanding"
)
