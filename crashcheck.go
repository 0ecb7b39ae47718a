package chestnutcleat

// CrashCheckRequest asks the owner of a call's fingerprint (customer, route and body) whether an attempt may run, or reports
// how the attempt ended.
type CrashCheckRequest struct {
	Customer CustomerID `json:"customer"`
	Route    RouteName  `json:"route"`
	Body     Digest     `json:"body"`
	// Attempt identifies the attempt; repeated requests for it count once.
	Attempt RequestID `json:"holder"`
	// Crashed is set when an upstream crashed while it ran the attempt.
	Crashed bool `json:"crashed,omitempty"`
	// Ended is set when the attempt no longer runs.
	Ended bool `json:"ended,omitempty"`
	// Done is set together with Ended when the upstream sent its complete answer.
	Done bool `json:"done,omitempty"`
}

// Key returns the key of the fingerprint, which determines its owner.
func (r CrashCheckRequest) Key() Key {
	d := DigestOf([]byte(ProgramKey(r.Customer, ProgramID(r.Route)).ID + "\x00" + string(r.Body[:])))
	return Key{Kind: KindProgram, ID: d.String()}
}

// CrashCheckReply tells how many upstreams crashed while they ran requests with the fingerprint.
type CrashCheckReply struct {
	Crashes int `json:"crashes"`
	// Busy is set if the attempt must wait: if it and all other running attempts crashed their upstreams, three or more upstreams
	// would have crashed.
	Busy bool `json:"busy,omitempty"`
}
