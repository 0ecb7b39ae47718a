package ledger

import "chestnutcleat.example/chestnutcleat"

// Kind is the type of a record.
type Kind uint8

// Kinds of records.
const (
	// Reserve reserves the maximum number of tokens that an attempt may use of its program's budget.
	Reserve Kind = iota + 1
	// Settle replaces an attempt's reservation by the tokens that it used.
	Settle
	// StoreTurn stores a turn's input and output.
	StoreTurn
	// Adopt sets the replica set of this replica.
	Adopt
	// Complete marks a replica that has all records of earlier versions of the set.
	Complete
	// Begin names the service and the software version at which a stream begins.
	Begin
)

// Record is one entry of a replica's log.
type Record struct {
	Kind     Kind                     `json:"k"`
	Customer chestnutcleat.CustomerID `json:"c,omitempty"`
	Program  chestnutcleat.ProgramID  `json:"p,omitempty"`
	// Attempt is the request that reserved or settled tokens or whose turn is stored.
	Attempt chestnutcleat.RequestID `json:"a,omitempty"`
	Tokens  chestnutcleat.Tokens    `json:"t,omitempty"`
	// Previous is the preceding stored turn; empty for the first of a chain.
	Previous chestnutcleat.RequestID `json:"r,omitempty"`
	Input    []byte                  `json:"i,omitempty"`
	Output   []byte                  `json:"o,omitempty"`
	// ExpiresAt is the Unix time in seconds after which the record expires, unless its program or chain is used later.
	ExpiresAt int64 `json:"u,omitempty"`
	// ReplicaSet is set in Adopt records.
	ReplicaSet *chestnutcleat.ReplicaSet `json:"s,omitempty"`
	// Route, Service, Software, Try and Nonce are set in Begin records. A record with a higher Try replaces those of the same Nonce with a
	// lower one.
	Route    chestnutcleat.RouteName       `json:"h,omitempty"`
	Service  chestnutcleat.ServiceName     `json:"e,omitempty"`
	Software chestnutcleat.SoftwareVersion `json:"w,omitempty"`
	Try      int                           `json:"n,omitempty"`
	Nonce    Nonce                         `json:"l,omitempty"`
}

// Nonce is a random number that tells requests apart which came with one attempt's id.
type Nonce uint64

// Origin is the service and the software version at which an attempt's stream began.
type Origin struct {
	Service  chestnutcleat.ServiceName     `json:"e"`
	Software chestnutcleat.SoftwareVersion `json:"w"`
	// Try is the number of the instance within the request, from 1.
	Try   int   `json:"n"`
	Nonce Nonce `json:"l,omitempty"`
}

// sameVersion reports whether two streams fit together.
func (o Origin) sameVersion(other Origin) bool {
	return o.Service == other.Service && o.Software == other.Software
}

// Turn is a stored turn.
type Turn struct {
	ID       chestnutcleat.RequestID `json:"a"`
	Previous chestnutcleat.RequestID `json:"r,omitempty"`
	Input    []byte                  `json:"i"`
	Output   []byte                  `json:"o"`
}

// Attempt holds the tokens that one attempt of a program reserved or used.
type Attempt struct {
	ID chestnutcleat.RequestID `json:"a"`
	// Tokens is the reservation, or the usage once Settled is set.
	Tokens  chestnutcleat.Tokens `json:"t"`
	Settled bool                 `json:"s,omitempty"`
}
