package member

import "chestnutcleat.example/chestnutcleat"

// update is the state of a VM as sent by gossip.
type update struct {
	VM chestnutcleat.VM `json:"v"`
	// Refutations is raised when the VM refutes a suspicion; its incarnation, which identifies the process, stays.
	Refutations uint64 `json:"c,omitempty"`
	Suspect     bool   `json:"s,omitempty"`
}

// gossip is piggybacked on every message.
type gossip struct {
	// Self describes the sender.
	Self    update   `json:"f"`
	Updates []update `json:"u,omitempty"`
	Items   []item   `json:"i,omitempty"`
	// Checksum covers the versions of the sender's members and items.
	Checksum uint64 `json:"h"`
}

// digestEntry is the version of a member or an item.
type digestEntry struct {
	Name        string `json:"n"`
	Version     uint64 `json:"v"`
	Refutations uint64 `json:"c,omitempty"`
	Rank        int    `json:"r,omitempty"`
}

// probeRequest checks whether a VM answers; with Sync it also asks to compare all versions.
type probeRequest struct {
	Gossip  gossip        `json:"g"`
	Sync    bool          `json:"y,omitempty"`
	Members []digestEntry `json:"m,omitempty"`
	Items   []digestEntry `json:"i,omitempty"`
}

// probeReply is the reply to a probe; for a sync it adds the updates and items that the requester lacks, and those wanted
// from it.
type probeReply struct {
	Gossip  gossip   `json:"g"`
	Updates []update `json:"u,omitempty"`
	Items   []item   `json:"i,omitempty"`
	// WantItems names the items of which the requester has a newer version.
	WantItems []string `json:"w,omitempty"`
	// WantMembers names the VMs about which the requester may have a newer update.
	WantMembers []string `json:"m,omitempty"`
}

// relayRequest asks a VM to probe another one on the sender's behalf.
type relayRequest struct {
	Gossip gossip                `json:"g"`
	Target chestnutcleat.Address `json:"t"`
	// About is the target's state as known to the sender.
	About update `json:"a"`
}

// relayReply reports whether the target answered.
type relayReply struct {
	Gossip   gossip `json:"g"`
	Answered bool   `json:"a"`
}
