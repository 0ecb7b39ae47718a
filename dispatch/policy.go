package dispatch

// Policy selects how upstreams are chosen and queues are ordered.
type Policy string

// Policies. The baselines are kept for comparison.
const (
	// PolicySticky keeps programs on their upstream and serves by level, then oldest program.
	PolicySticky Policy = ""
	// PolicyRoundRobin takes upstreams in turn and serves by arrival.
	PolicyRoundRobin Policy = "round-robin"
	// PolicyLeastOutstanding takes the upstream with the fewest requests and serves by arrival.
	PolicyLeastOutstanding Policy = "least-outstanding"
)
