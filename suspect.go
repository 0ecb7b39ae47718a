package chestnutcleat

// SuspectRequest asks the owner of a fingerprint about crashes, or reports one.
type SuspectRequest struct {
	Customer CustomerID `json:"customer"`
	Route    RouteName  `json:"route"`
	Body     Digest     `json:"body"`
	// Holder identifies the attempt that asks; the same holder counts once.
	Holder RequestID `json:"holder"`
	// Crashed reports that an upstream died while it ran the attempt.
	Crashed bool `json:"crashed,omitempty"`
	// Ended reports that the attempt no longer runs.
	Ended bool `json:"ended,omitempty"`
	// Done is set with Ended when the upstream answered the attempt completely.
	Done bool `json:"done,omitempty"`
}

// Key returns the key whose owner keeps the fingerprint.
func (r SuspectRequest) Key() Key {
	d := DigestOf([]byte(ProgramKey(r.Customer, ProgramID(r.Route)).ID + "\x00" + string(r.Body[:])))
	return Key{Kind: KindProgram, ID: d.String()}
}

// SuspectReply tells how many upstreams died while they ran the fingerprint.
type SuspectReply struct {
	Crashes int `json:"crashes"`
	// Busy is set while so many other attempts of the fingerprint run that one more could cost a third upstream.
	Busy bool `json:"busy,omitempty"`
}
