package peer

import (
	"math"
	"slices"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/place"
	"chestnutcleat.example/chestnutcleat/rate"
)

// Member is a VM as the platform's object describes it.
type Member struct {
	VM     chestnutcleat.VMID          `json:"vm"`
	Role   string                      `json:"role,omitempty"`
	Domain chestnutcleat.FailureDomain `json:"domain,omitempty"`
	// Address is where other VMs connect and send datagrams.
	Address chestnutcleat.Address `json:"address,omitempty"`
	// Callers is where callers connect; empty on VMs without callers.
	Callers chestnutcleat.Address `json:"callers,omitempty"`
	// Disk identifies the VM's data directory; empty if it has none.
	Disk chestnutcleat.DiskID `json:"disk,omitempty"`
}

// Summary is the state that a VM reports to all others.
type Summary struct {
	Member
	// Incarnation identifies the process, and Sequence orders its summaries.
	Incarnation Incarnation `json:"incarnation"`
	Sequence    uint64      `json:"sequence"`
	// Leaving is set while the VM shuts down.
	Leaving bool `json:"leaving,omitempty"`
	// PlatformUnreachable is set while the VM can't reach the platform.
	PlatformUnreachable bool `json:"away,omitempty"`
	// Unwritable is set while the VM can't reach enough replicas to write programs' records.
	Unwritable bool `json:"unwritable,omitempty"`
	// Versions are the versions of the platform's objects that the VM has.
	Versions map[chestnutcleat.ObjectKind]chestnutcleat.Version `json:"versions,omitempty"`
	// Confirmed has the times, in milliseconds, since the platform had nothing newer than these versions.
	Confirmed map[chestnutcleat.ObjectKind]uint32 `json:"confirmed,omitempty"`
	// CrashCounts counts, by the fingerprint of a request, how often an instance's connection broke while it ran the request.
	CrashCounts map[uint64]int `json:"breaks,omitempty"`
	// Blocks is a hash of the requests that are blocked since they crash instances. A VM whose hash differs copies them.
	Blocks uint64 `json:"blocks,omitempty"`
	// Load is the number of requests that the VM has at each instance.
	Load map[chestnutcleat.InstanceID]int `json:"load,omitempty"`
	// Outcomes has the outcomes of the VM's requests.
	Outcomes place.OutcomeCounts `json:"tally,omitzero"`
	// Activities describes the programs of customers near their limits.
	Activities rate.Activities `json:"programs,omitempty"`
	// Departures are the instances that told the VM that they leave.
	Departures []place.ProcessHash `json:"left,omitempty"`
}

// boundedDepartures returns the departures without those beyond place.MaxReportedLeaving. A VM that reports more than it should must not
// displace what others report.
func (s *Summary) boundedDepartures() []place.ProcessHash {
	return s.Departures[:min(len(s.Departures), place.MaxReportedLeaving)]
}

// Bits of a VM's flags in digests.
const (
	flagLeaving = 1 << iota
	flagPlatformUnreachable
	flagUnwritable
)

// flags packs the boolean fields into bits.
func (s *Summary) flags() uint8 {
	var f uint8
	if s.Leaving {
		f |= flagLeaving
	}
	if s.PlatformUnreachable {
		f |= flagPlatformUnreachable
	}
	if s.Unwritable {
		f |= flagUnwritable
	}
	return f
}

func (s *Summary) setFlags(f uint8) {
	s.Leaving, s.PlatformUnreachable, s.Unwritable = f&flagLeaving != 0, f&flagPlatformUnreachable != 0, f&flagUnwritable != 0
}

// addAge adds the time since the summary was sent, in milliseconds, to the times in it.
func (s *Summary) addAge(age uint32) {
	older := make(map[chestnutcleat.ObjectKind]uint32, len(s.Confirmed))
	for k, v := range s.Confirmed {
		older[k] = v + min(age, math.MaxUint32-v)
	}
	s.Confirmed = older
}

// withoutCounts returns the summary without the fields that grow with the numbers of instances, broken requests and programs.
func (s Summary) withoutCounts() Summary {
	s.Load, s.CrashCounts, s.Outcomes, s.Activities = nil, nil, place.OutcomeCounts{}, nil
	return s
}

// TokenRequest requests tokens of customers' rate limits from another VM.
type TokenRequest struct {
	From chestnutcleat.VMID `json:"from"`
	// Incarnation identifies the requesting process, and Number its request.
	Incarnation Incarnation `json:"incarnation"`
	Number      uint64      `json:"number"`
	Tokens      rate.Tokens `json:"tokens"`
}

// TokenGrant grants tokens of customers' rate limits to another VM.
type TokenGrant struct {
	From chestnutcleat.VMID `json:"from"`
	// Incarnation identifies the granting process, and Sequence orders its grants.
	Incarnation Incarnation `json:"incarnation"`
	Sequence    uint64      `json:"sequence"`
	// To is the process that requested the tokens, any other ignores them, and Number that of its request.
	To     Incarnation `json:"to"`
	Number uint64      `json:"number"`
	Tokens rate.Tokens `json:"tokens"`
}

// groupRole is the role in which a VM sends a message to others of its group.
type groupRole uint8

const (
	// roleMember sends to the relays.
	roleMember groupRole = iota
	// roleRelay sends to the whole group.
	roleRelay
	// roleFallback stands in for the relays and sends to VMs that don't hear them.
	roleFallback
)

// message is the content of one datagram.
type message struct {
	// GroupRole is the sender's role.
	GroupRole groupRole     `json:"part,omitempty"`
	Summary   *Summary      `json:"summary,omitempty"`
	Forwarded []Forwarded   `json:"forwarded,omitempty"`
	Digest    *Digest       `json:"digest,omitempty"`
	Request   *TokenRequest `json:"question,omitempty"`
	Grant     *TokenGrant   `json:"grant,omitempty"`
}

// withoutCounts returns the message with all summaries and the digest reduced by withoutCounts.
func (m message) withoutCounts() message {
	if m.Summary != nil {
		own := m.Summary.withoutCounts()
		m.Summary = &own
	}
	if m.Digest != nil {
		m.Digest = m.Digest.withoutCounts()
	}
	m.Forwarded = slices.Clone(m.Forwarded)
	for i := range m.Forwarded {
		m.Forwarded[i].Summary = m.Forwarded[i].Summary.withoutCounts()
	}
	return m
}
