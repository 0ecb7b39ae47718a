package ledger

import "chestnutcleat.example/chestnutcleat"

// Methods called by entry VMs on replicas and between replicas.
const (
	methodAppend chestnutcleat.Method = "ledger/append"
	methodFetch  chestnutcleat.Method = "ledger/fetch"
	methodAdopt  chestnutcleat.Method = "ledger/adopt"
	methodDump   chestnutcleat.Method = "ledger/dump"
	methodJoin   chestnutcleat.Method = "ledger/join"
	methodOrigin chestnutcleat.Method = "ledger/origin"
)

// Target names the disk that a request is for and the version of the replica set that its sender knows.
type Target struct {
	Disk    chestnutcleat.DiskID  `json:"d"`
	Version chestnutcleat.Version `json:"v"`
}

// VersionCheck compares the sender's replica set with the receiver's; unless the versions are equal, the request had no effect.
type VersionCheck struct {
	// Newer is the receiver's set if the sender's is older.
	Newer *chestnutcleat.ReplicaSet `json:"n,omitempty"`
	// Behind is set if the receiver's set is older; the sender must make it adopt the newer one first.
	Behind bool `json:"b,omitempty"`
}

// versionCheck gives access to the check that is embedded in a reply.
func (c VersionCheck) versionCheck() VersionCheck { return c }

// AppendRequest writes records to a replica.
type AppendRequest struct {
	Target
	Records []Record `json:"r"`
}

// AppendReply holds the other attempts of the program of each Reserve record, in the order of the request.
type AppendReply struct {
	VersionCheck
	// Full is set if the replica has no room and rejected the Reserve records, and the Begin records unless Begun is set.
	Full     bool        `json:"f,omitempty"`
	Begun    bool        `json:"g,omitempty"`
	Attempts [][]Attempt `json:"a,omitempty"`
}

// rejects reports whether the replica rejected the records of a kind, as they come before anything has run.
func (r *AppendReply) rejects(k Kind) bool {
	return r.Full && (k == Reserve || k == Begin && !r.Begun)
}

// FetchRequest asks for a stored turn and its predecessors.
type FetchRequest struct {
	Target
	Customer chestnutcleat.CustomerID `json:"c"`
	Turn     chestnutcleat.RequestID  `json:"t"`
	// Limit is the most turns to return; zero means as many as fit.
	Limit int `json:"l,omitempty"`
}

// FetchReply holds the turns that the replica has, newest first.
type FetchReply struct {
	VersionCheck
	Turns []Turn `json:"t,omitempty"`
	// Complete is set if the replica has all records of earlier sets, so that it can tell that a turn does not exist.
	Complete bool `json:"w,omitempty"`
}

// OriginQuery asks at which software versions the stream of an attempt and all streams of a route began.
type OriginQuery struct {
	Customer chestnutcleat.CustomerID `json:"c"`
	// Attempt is empty if it is not known.
	Attempt chestnutcleat.RequestID `json:"a"`
	Route   chestnutcleat.RouteName `json:"h"`
}

// OriginRequest is a query to one replica.
type OriginRequest struct {
	Target
	OriginQuery
}

// OriginReply holds the origins that the replica has of the attempt, those of the highest try of each request.
type OriginReply struct {
	VersionCheck
	Origins []Origin `json:"o,omitempty"`
	// OfRoute are the origins of all streams of the route, without their tries.
	OfRoute []Origin `json:"h,omitempty"`
	// Complete is as in FetchReply.
	Complete bool `json:"w,omitempty"`
}

// AdoptRequest sends a replica set to one of its members.
type AdoptRequest struct {
	Disk       chestnutcleat.DiskID     `json:"d"`
	ReplicaSet chestnutcleat.ReplicaSet `json:"s"`
}

// AdoptReply holds the receiver's set after the request.
type AdoptReply struct {
	ReplicaSet chestnutcleat.ReplicaSet `json:"s"`
}

// DumpRequest asks for a page of the list of all records, or for some of the listed records in full.
type DumpRequest struct {
	Target
	// DumpID is the id from the first page's reply; zero asks for the first page.
	DumpID uint64 `json:"i,omitempty"`
	// Offset is the number of records received so far.
	Offset int `json:"a,omitempty"`
	// Indexes are the positions in the list of records that are requested with their input and output.
	Indexes []int `json:"w,omitempty"`
	// Done ends the dump.
	Done bool `json:"e,omitempty"`
}

// DumpReply is a page of the list, without the inputs and outputs of turns, or the first of the requested records in full.
type DumpReply struct {
	VersionCheck
	DumpID   uint64   `json:"i"`
	Records  []Record `json:"r"`
	More     bool     `json:"m,omitempty"`
	Complete bool     `json:"w,omitempty"`
}

// JoinRequest asks a replica to copy all records of the current replicas in ReplicaSet, before the set changes to the next ones.
type JoinRequest struct {
	Disk       chestnutcleat.DiskID     `json:"d"`
	ReplicaSet chestnutcleat.ReplicaSet `json:"s"`
}
