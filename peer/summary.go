package peer

import (
	"slices"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/place"
	"chestnutcleat.example/chestnutcleat/rate"
)

// Member is a VM as its object at the platform describes it.
type Member struct {
	VM     chestnutcleat.VMID          `json:"vm"`
	Role   string                      `json:"role,omitempty"`
	Domain chestnutcleat.FailureDomain `json:"domain,omitempty"`
	// Address is where other VMs connect and send datagrams.
	Address chestnutcleat.Address `json:"address,omitempty"`
	// Callers is where callers connect; empty on VMs that take no callers.
	Callers chestnutcleat.Address `json:"callers,omitempty"`
	// Disk is the VM's data folder; empty for none.
	Disk chestnutcleat.DiskID `json:"disk,omitempty"`
}

// Summary is what a VM tells all others.
type Summary struct {
	Member
	// Incarnation names the process, and Sequence orders its summaries.
	Incarnation Incarnation `json:"incarnation"`
	Sequence    uint64      `json:"sequence"`
	// Leaving is set while the VM shuts down.
	Leaving bool `json:"leaving,omitempty"`
	// Away is set while the VM does not reach the platform.
	Away bool `json:"away,omitempty"`
	// Unwritable is set while the VM does not reach enough copies to write programs' records.
	Unwritable bool `json:"unwritable,omitempty"`
	// Versions are those of the VM's copies of the platform's objects.
	Versions map[chestnutcleat.ObjectKind]chestnutcleat.Version `json:"versions,omitempty"`
	// Breaks are the requests while whose run instances broke off, by fingerprint, and how often.
	Breaks map[uint64]int `json:"breaks,omitempty"`
	// Load is the number of requests that the VM has at each instance.
	Load map[chestnutcleat.InstanceID]int `json:"load,omitempty"`
	// Tally counts what the VM's requests met at the instances.
	Tally place.OutcomeCounts `json:"tally,omitzero"`
}

// Bits of a VM's flags in digests.
const (
	flagLeaving = 1 << iota
	flagAway
	flagUnwritable
)

// flags packs what is true or false of a VM.
func (s *Summary) flags() uint8 {
	var f uint8
	if s.Leaving {
		f |= flagLeaving
	}
	if s.Away {
		f |= flagAway
	}
	if s.Unwritable {
		f |= flagUnwritable
	}
	return f
}

func (s *Summary) setFlags(f uint8) {
	s.Leaving, s.Away, s.Unwritable = f&flagLeaving != 0, f&flagAway != 0, f&flagUnwritable != 0
}

// brief leaves out what grows with the numbers of instances and of broken runs.
func (s Summary) brief() Summary {
	s.Load, s.Breaks, s.Tally = nil, nil, place.OutcomeCounts{}
	return s
}

// Question asks another VM for tokens of customers' rates.
type Question struct {
	From chestnutcleat.VMID `json:"from"`
	// Incarnation is the asker's process, and Number tells its questions apart.
	Incarnation Incarnation `json:"incarnation"`
	Number      uint64      `json:"number"`
	Tokens      rate.Tokens `json:"tokens"`
}

// Grant gives another VM tokens of customers' rates.
type Grant struct {
	From chestnutcleat.VMID `json:"from"`
	// Incarnation is the giver's process, and Sequence orders its grants.
	Incarnation Incarnation `json:"incarnation"`
	Sequence    uint64      `json:"sequence"`
	// To is the receiver's process, another one takes nothing, and Number that of its question.
	To     Incarnation `json:"to"`
	Number uint64      `json:"number"`
	Tokens rate.Tokens `json:"tokens"`
}

// part is what a VM does in its group at the moment.
type part uint8

const (
	// asMember sends to the relays.
	asMember part = iota
	// asRelay sends to all.
	asRelay
	// asHelper sends to a VM that does not hear the relays.
	asHelper
)

// message is one datagram.
type message struct {
	// Part is the sender's in its group.
	Part      part        `json:"part,omitempty"`
	Summary   *Summary    `json:"summary,omitempty"`
	Forwarded []Forwarded `json:"forwarded,omitempty"`
	Digest    *Digest     `json:"digest,omitempty"`
	Question  *Question   `json:"question,omitempty"`
	Grant     *Grant      `json:"grant,omitempty"`
}

// brief is the message with brief summaries.
func (m message) brief() message {
	own := m.Summary.brief()
	m.Summary = &own
	m.Forwarded = slices.Clone(m.Forwarded)
	for i := range m.Forwarded {
		m.Forwarded[i].Summary = m.Forwarded[i].Summary.brief()
	}
	return m
}
