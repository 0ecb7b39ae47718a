package ledger

import "chestnutcleat.example/chestnutcleat"

// Methods between entry VMs and copies, and between copies.
const (
	methodAppend chestnutcleat.Method = "ledger/append"
	methodFetch  chestnutcleat.Method = "ledger/fetch"
	methodAdopt  chestnutcleat.Method = "ledger/adopt"
	methodDump   chestnutcleat.Method = "ledger/dump"
	methodJoin   chestnutcleat.Method = "ledger/join"
)

// Target names the disk that a request is for and the set of copies that its sender knows.
type Target struct {
	Disk    chestnutcleat.DiskID  `json:"d"`
	Version chestnutcleat.Version `json:"v"`
}

// Standing tells how the sender's set compares with the copy's own; nothing was done unless both are equal.
type Standing struct {
	// Newer is the copy's set when the sender's is older.
	Newer *chestnutcleat.Copies `json:"n,omitempty"`
	// Behind is set when the sender's set is newer; the sender adopts it at the copy first.
	Behind bool `json:"b,omitempty"`
}

// AppendRequest writes records.
type AppendRequest struct {
	Target
	Records []Record `json:"r"`
}

// AppendReply has the other attempts of the program of each Reserve record, in the order of the request.
type AppendReply struct {
	Standing
	// Full is set when the copy has no room and took no Reserve record.
	Full     bool        `json:"f,omitempty"`
	Attempts [][]Attempt `json:"a,omitempty"`
}

// FetchRequest asks for a kept turn and those before it.
type FetchRequest struct {
	Target
	Customer chestnutcleat.CustomerID `json:"c"`
	Turn     chestnutcleat.RequestID  `json:"t"`
}

// FetchReply has the turns that the copy holds, newest first.
type FetchReply struct {
	Standing
	Turns []Turn `json:"t,omitempty"`
	// Whole is set when the copy lacks no record of earlier sets, so that a missing turn is missing for it.
	Whole bool `json:"w,omitempty"`
}

// AdoptRequest tells a copy the present set.
type AdoptRequest struct {
	Disk   chestnutcleat.DiskID `json:"d"`
	Copies chestnutcleat.Copies `json:"s"`
}

// AdoptReply has the copy's set after the request.
type AdoptReply struct {
	Copies chestnutcleat.Copies `json:"s"`
}

// DumpRequest asks for a page of the list of all records, or for some of them.
type DumpRequest struct {
	Target
	// Dump is that of the first page's reply; zero asks for the first page.
	Dump uint64 `json:"i,omitempty"`
	// After is the number of records that the asker has listed.
	After int `json:"a,omitempty"`
	// Want are the places in the list of records that are wanted with their input and output.
	Want []int `json:"w,omitempty"`
	// Done ends the dump.
	Done bool `json:"e,omitempty"`
}

// DumpReply is a page of the list, without the inputs and outputs of turns, or the first of the records that are wanted.
type DumpReply struct {
	Standing
	Dump    uint64   `json:"i"`
	Records []Record `json:"r"`
	More    bool     `json:"m,omitempty"`
	Whole   bool     `json:"w,omitempty"`
}

// JoinRequest asks a copy to copy all records of the set that Copies changes from.
type JoinRequest struct {
	Disk   chestnutcleat.DiskID `json:"d"`
	Copies chestnutcleat.Copies `json:"s"`
}
