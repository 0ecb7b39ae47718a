package member

import "chestnutcleat.example/chestnutcleat"

// update is what gossip tells about a VM.
type update struct {
	VM chestnutcleat.VM `json:"v"`
	// Count grows when the VM refutes a suspicion; the incarnation stays that of the process.
	Count   uint64 `json:"c,omitempty"`
	Suspect bool   `json:"s,omitempty"`
}

// gossip is piggybacked on every message.
type gossip struct {
	// Self describes the sender.
	Self    update   `json:"f"`
	Updates []update `json:"u,omitempty"`
	Items   []item   `json:"i,omitempty"`
	// Sum is a checksum of the sender's members and items.
	Sum uint64 `json:"h"`
}

// stamp is the version of a member or an item.
type stamp struct {
	Name    string `json:"n"`
	Version uint64 `json:"v"`
	Count   uint64 `json:"c,omitempty"`
	Rank    int    `json:"r,omitempty"`
}

// probeRequest asks whether a VM answers; with Sync it also compares all versions.
type probeRequest struct {
	Gossip  gossip  `json:"g"`
	Sync    bool    `json:"y,omitempty"`
	Members []stamp `json:"m,omitempty"`
	Items   []stamp `json:"i,omitempty"`
}

// probeReply is the answer to a probe; a sync adds what the sender lacks and wants.
type probeReply struct {
	Gossip  gossip   `json:"g"`
	Updates []update `json:"u,omitempty"`
	Items   []item   `json:"i,omitempty"`
	// Want names the items of which the sender has a newer version.
	Want []string `json:"w,omitempty"`
	// WantMembers names the VMs of which the sender has newer news.
	WantMembers []string `json:"m,omitempty"`
}

// relayRequest asks a VM to probe another.
type relayRequest struct {
	Gossip gossip                `json:"g"`
	Target chestnutcleat.Address `json:"t"`
	// About is the target as the sender knows it.
	About update `json:"a"`
}

// relayReply tells whether the target answered.
type relayReply struct {
	Gossip   gossip `json:"g"`
	Answered bool   `json:"a"`
}
