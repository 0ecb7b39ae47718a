package peer

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/place"
)

const (
	// testDomains is the number of failure domains of the fleets here.
	testDomains = 5
	// maxPerSecond bounds the datagrams that a VM sends: each costs a system call there and a wake-up elsewhere.
	maxPerSecond = 150
	// meanPerSecond bounds the mean over the VMs of a fleet of several groups.
	meanPerSecond = 40
	// knownTime is the time in which all VMs must know the load of one, flagTime that in which they must know that it leaves, and
	// lostTime that in which they must miss it.
	knownTime = time.Second
	flagTime  = 200 * time.Millisecond
	lostTime  = 2800 * time.Millisecond
)

// node is a VM of a large fleet.
type node struct {
	*Fleet
	sock *sock
	stop func()

	mu   sync.Mutex
	word Summary
}

func (n *node) describe(s *Summary) {
	n.mu.Lock()
	defer n.mu.Unlock()
	s.Load, s.Leaving, s.Tally, s.Breaks = n.word.Load, n.word.Leaving, n.word.Tally, n.word.Breaks
}

func (n *node) say(s Summary) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.word = s
}

// fleetOf runs count VMs that start within 0.3 s of each other and know the same list.
func fleetOf(t *testing.T, count int) (*wire, []*node) {
	w := newWire()
	var list []Member
	for i := range count {
		m := member(i)
		m.Domain = chestnutcleat.FailureDomain(fmt.Sprint("d", i%testDomains))
		list = append(list, m)
	}
	random := rand.New(rand.NewPCG(1, uint64(count)))
	var nodes []*node
	for i := range list {
		n := &node{word: Summary{Load: map[chestnutcleat.InstanceID]int{"i": 1}}}
		n.sock = w.open(string(list[i].Address))
		n.Fleet = &Fleet{Self: list[i], Describe: n.describe, Conn: n.sock}
		n.SetMembers(list)
		n.stop = run(t, n.Fleet, time.Duration(random.Int64N(int64(300*time.Millisecond))))
		nodes = append(nodes, n)
	}
	return w, nodes
}

// wholeFleet is fleetOf with VMs that all hear each other.
func wholeFleet(t *testing.T, count int) (*wire, []*node) {
	w, nodes := fleetOf(t, count)
	within(nodes, -1, func(n *node) bool { return n.heard() == count-1 })
	return w, nodes
}

func stopAll(nodes []*node) {
	for _, n := range nodes {
		n.stop()
	}
}

// within returns how long it takes until all nodes but one meet a condition, and gives up after a minute.
func within(nodes []*node, but int, met func(n *node) bool) time.Duration {
	begun := time.Now()
	for time.Since(begun) < time.Minute {
		all := true
		for i, n := range nodes {
			all = all && (i == but || met(n))
		}
		if all {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	return time.Since(begun)
}

// peer returns what a node knows of another one.
func (n *node) peer(id chestnutcleat.VMID) Peer {
	n.Fleet.mu.Lock()
	defer n.Fleet.mu.Unlock()
	return *n.roster.peers[id]
}

func (n *node) heard() int {
	n.Fleet.mu.Lock()
	defer n.Fleet.mu.Unlock()
	count := 0
	for _, p := range n.roster.peers {
		if !p.Silent() {
			count++
		}
	}
	return count
}

// State of hundreds of VMs must be as fresh as that of a few, and no VM's traffic may grow with the fleet: each VM sent its whole
// summary to every other one, 1.7 s apart at 259 VMs, and missed a lost VM after 10 s.
func TestLargeFleet(t *testing.T) {
	for _, count := range fleetSizes {
		t.Run(fmt.Sprint(count, " VMs"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w, nodes := fleetOf(t, count)
				whole := func(n *node) bool { l := n.Totals(); return n.heard() == count-1 && l.Load("i") == count-1 }
				start := within(nodes, -1, whole)

				w.mu.Lock()
				w.bytes = 0
				for _, n := range nodes {
					n.sock.sent = 0
				}
				w.mu.Unlock()
				const span = 4
				for range span * 10 {
					time.Sleep(100 * time.Millisecond)
					for _, n := range nodes {
						if n.heard() != count-1 {
							t.Fatalf("%s hears %d VMs of %d", n.Self.VM, n.heard(), count-1)
						}
					}
				}
				w.mu.Lock()
				sent, most := 0, 0
				for _, n := range nodes {
					sent += n.sock.sent
					most = max(most, n.sock.sent)
				}
				bytes := w.bytes
				w.mu.Unlock()

				last := nodes[count-1]
				last.say(Summary{Load: map[chestnutcleat.InstanceID]int{"i": 1, "j": 7}})
				load := within(nodes, count-1, func(n *node) bool { l := n.Totals(); return l.Load("j") == 7 })
				last.say(Summary{Load: map[chestnutcleat.InstanceID]int{"i": 1, "j": 7}, Leaving: true})
				last.Soon()
				leaving := within(nodes, count-1, func(n *node) bool { p := n.peer(last.Self.VM); return p.Leaving })
				last.stop()
				lost := within(nodes, count-1, func(n *node) bool { p := n.peer(last.Self.VM); return p.Silent() })
				t.Logf("%d VMs: whole after %v; %.0f datagrams/s (most %.0f), %.0f bytes/s a VM; load known after %v, leaving after %v, lost after %v",
					count, start, float64(sent)/span/float64(count), float64(most)/span, float64(bytes)/span/float64(count), load, leaving, lost)
				if mean := sent / span / count; count > maxGroup && mean > meanPerSecond {
					t.Errorf("%d datagrams/s a VM, expected at most %d", mean, meanPerSecond)
				}
				if most > span*maxPerSecond || load > knownTime || leaving > flagTime || lost > lostTime {
					t.Errorf("bounds are %d datagrams/s, %v, %v and %v", maxPerSecond, knownTime, flagTime, lostTime)
				}
				stopAll(nodes[:count-1])
			})
		})
	}
}

// Losing both relays of a group at once, or cutting a failure domain off, must not make VMs that live count as lost elsewhere for
// longer than it takes to miss the relays; afterwards all is as before.
func TestRelaysAreLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const count = 100
		w, nodes := wholeFleet(t, count)
		cut := map[chestnutcleat.VMID]bool{}
		var group Group
		for _, n := range nodes {
			n.Fleet.mu.Lock()
			if n.isRelay() && (group == "" || n.groups.own == group) {
				group = n.groups.own
				cut[n.Self.VM] = true
			}
			n.Fleet.mu.Unlock()
		}
		is.Equal(len(cut), relays)
		set := func(value bool) {
			w.mu.Lock()
			defer w.mu.Unlock()
			for _, n := range nodes {
				if cut[n.Self.VM] {
					w.cut[string(n.Self.Address)] = value
				}
			}
		}
		set(true)
		alive := func(n *node) bool { return cut[n.Self.VM] || n.heard() == count-1-relays }
		is.True(within(nodes, -1, alive) <= lostTime+time.Second)
		for range 50 {
			time.Sleep(100 * time.Millisecond)
			is.True(within(nodes, -1, alive) == 0) // and it stays so
		}
		set(false)
		is.True(within(nodes, -1, func(n *node) bool { return n.heard() == count-1 }) <= lostTime)
		stopAll(nodes)
	})
}

// A VM that can't reach the relays of its group must hear the fleet through other VMs of it, and be heard.
func TestMemberWithoutItsRelays(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const count = 100
		w, nodes := wholeFleet(t, count)
		var lonely *node
		for _, n := range nodes {
			if !n.Relays() {
				lonely = n
				break
			}
		}
		w.mu.Lock()
		for _, n := range nodes {
			if n.groups.own == lonely.groups.own && n.Relays() {
				w.apart[[2]string{string(n.Self.Address), string(lonely.Self.Address)}] = true
			}
		}
		w.mu.Unlock()
		whole := func(n *node) bool { return n.heard() == count-1 }
		time.Sleep(lostTime)
		is.True(within(nodes, -1, whole) <= lostTime)
		for range 50 {
			time.Sleep(100 * time.Millisecond)
			is.True(within(nodes, -1, whole) == 0) // and it stays so
		}
		stopAll(nodes)
	})
}

// With very many instances the summaries of a group don't fit into one datagram: their VMs must be heard all the same.
func TestLongSummariesAreHeard(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const count, instances = 100, 400
		_, nodes := fleetOf(t, count)
		for _, n := range nodes {
			load := map[chestnutcleat.InstanceID]int{}
			for i := range instances {
				load[chestnutcleat.InstanceID(fmt.Sprintf("instance-with-a-long-name-%d", i))] = 1
			}
			n.say(Summary{Load: load})
		}
		time.Sleep(lostTime)
		for range 20 {
			time.Sleep(100 * time.Millisecond)
			for _, n := range nodes {
				if n.heard() != count-1 {
					t.Fatalf("%s hears %d VMs of %d", n.Self.VM, n.heard(), count-1)
				}
			}
		}
		stopAll(nodes)
	})
}

// A VM whose place as a relay was taken between two looks must tell the other groups nothing: with -race it ended the process.
func TestFormerRelayIsQuiet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w, nodes := wholeFleet(t, 100)
		stopAll(nodes)
		for _, n := range nodes {
			if n.Relays() {
				continue
			}
			before := w.sent
			n.tellOthers(&Summary{Member: n.Self}, true)
			is.Equal(w.sent, before)
		}
	})
}

// What VMs met at the instances must reach all others once, with that of the own failure domain apart.
func TestTotals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const count = 100
		_, nodes := fleetOf(t, count)
		for _, n := range nodes {
			n.say(Summary{Tally: place.OutcomeCounts{Answered: map[chestnutcleat.ServiceName]int{"s": 1}}, Breaks: map[uint64]int{7: 1}})
		}
		time.Sleep(5 * time.Second)
		for _, n := range nodes {
			l := n.Totals()
			is.Equal(l.Tally.Answered["s"], count-1)
			is.Equal(l.Near.Answered["s"], count/testDomains-1)
		}
		stopAll(nodes)
	})
}

// All VMs must divide the fleet alike, and one VM more must move few of the others.
func TestGroups(t *testing.T) {
	is := is.New(t)
	var list []Member
	for i := range 260 {
		m := member(i)
		m.Domain = chestnutcleat.FailureDomain(fmt.Sprint("d", i%testDomains))
		list = append(list, m)
	}
	one, other := newGroups(list[0], list[1:]), newGroups(list[9], append(list[10:], list[:9]...))
	is.Equal(one.of, other.of)
	is.Equal(one.members, other.members)
	more := member(999)
	more.Domain = "d1"
	grown := newGroups(list[0], append(list[1:], more))
	moved := 0
	for id, g := range one.of {
		if grown.of[id] != g {
			moved++
		}
	}
	is.True(moved <= groupSize)
	for g, ids := range one.members {
		is.True(len(ids) < maxGroup)
		for _, id := range ids {
			n, err := fmt.Sscanf(string(id), "v%d", new(int))
			is.True(n == 1 && err == nil)
			is.True(one.domains[g] != "")
		}
	}
	is.Equal(len(newGroups(list[0], list[1:maxGroup]).members), 1)
}
