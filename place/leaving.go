package place

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"chestnutcleat.example/chestnutcleat"
)

const (
	// leavingMemory is how long a leaving instance is remembered that is not listed any more, as an old list may still name it.
	leavingMemory = 10 * time.Minute
	// MaxReportedLeaving bounds the number of leaving instances in a report to other VMs.
	MaxReportedLeaving = 64
	// reportTurn is for how long the same ones are reported if there are more, in seconds. Other VMs see a report several times meanwhile.
	reportTurn = 1
)

// process identifies one start of an instance.
type process struct {
	id chestnutcleat.InstanceID
	// startedAt is zero if the registration doesn't tell it. Only then address is set.
	startedAt int64
	address   chestnutcleat.Address
}

func processOf(i *chestnutcleat.Instance) process {
	if i.StartedAt != 0 {
		return process{id: i.ID, startedAt: i.StartedAt}
	}
	return process{id: i.ID, address: i.Address}
}

// ProcessHash identifies one start of an instance in reports between VMs.
type ProcessHash uint32

func (p process) hash() ProcessHash {
	return ProcessHash(xxhash.Sum64String(fmt.Sprintf("%s %s %d", p.id, p.address, p.startedAt)))
}

// departure is the knowledge that an instance leaves, which only a new start of the instance ends.
type departure struct {
	process
	// toldAt is the latest time at which this VM sent a request whose answer says that the instance leaves; zero if it knows that from
	// others only.
	toldAt time.Time
	since  time.Time
	// unlistedSince is the time of the first list without the instance, or zero while it is listed.
	unlistedSince time.Time
}

// covers reports whether q leaves as well. A registration that doesn't tell the start is not taken for a new one. Of all starts before
// toldAt only the last one can have answered, whichever of them was listed then.
func (d *departure) covers(q process) bool {
	switch {
	case d.id != q.id:
		return false
	case q.startedAt == 0:
		return d.startedAt != 0 || d.address == q.address
	case q.startedAt == d.startedAt:
		return true
	}
	return !d.toldAt.IsZero() && q.startedAt < d.toldAt.UnixMilli()
}

// listed returns the listed instance that a departure covers, or nil. The caller holds t.mu.
func (t *Table) listed(d *departure) *instanceState {
	if s := t.byID[d.id]; s != nil && s.listed && d.covers(processOf(&s.Instance)) {
		return s
	}
	return nil
}

// MarkLeaving records that the assignment's instance said that it leaves, in the answer to a request that was sent at the given time. It
// reports whether that is news.
func (a *Assignment) MarkLeaving(sentAt time.Time) bool {
	t := a.table
	t.mu.Lock()
	defer t.mu.Unlock()
	// Counted from the table's start by the steady clock, so that a step of the system's clock since then does not matter.
	return t.markLeaving(processOf(&a.Instance), t.start.Add(sentAt.Sub(t.start)))
}

// Departs reports whether the assignment's instance is known to leave, by now.
func (a *Assignment) Departs() bool {
	t := a.table
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.byID[a.ID]
	return s != nil && s.leaves()
}

// AllDepart reports whether all instances are known to leave that could serve a request otherwise, those in Exclude included, and there
// are some.
func (t *Table) AllDepart(r Request) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	found := false
	for _, s := range t.services[r.Service] {
		if r.Version != nil && s.Version != *r.Version {
			continue
		}
		if !s.leaves() {
			return false
		}
		found = true
	}
	return found
}

// markLeaving records a departure and reports whether it is news. toldAt is zero if another VM reported it. The caller holds t.mu.
func (t *Table) markLeaving(p process, toldAt time.Time) bool {
	d, known := t.departures[p]
	if !known {
		d = &departure{process: p, since: time.Now()}
		t.departures[p] = d
	}
	if toldAt.After(d.toldAt) {
		d.toldAt = toldAt
	}
	s := t.listed(d)
	if s == nil {
		return !known
	}
	news := !known && !s.leaves()
	s.departed = true
	return news
}

// refreshDepartures marks the listed instances that are known to leave and forgets those that have not been listed for long. The caller
// holds t.mu.
func (t *Table) refreshDepartures(now time.Time) {
	for p, d := range t.departures {
		s := t.listed(d)
		switch {
		case s != nil:
			s.departed = true
			d.unlistedSince = time.Time{}
		case d.unlistedSince.IsZero():
			d.unlistedSince = now
		case now.Sub(d.unlistedSince) > leavingMemory:
			delete(t.departures, p)
		}
	}
}

// notYetDeparted returns those of the listed instances that have not said themselves that they leave. The caller holds t.mu.
func (t *Table) notYetDeparted(list []chestnutcleat.InstanceID) []chestnutcleat.InstanceID {
	return slices.DeleteFunc(list, func(id chestnutcleat.InstanceID) bool { return t.byID[id].departed })
}

// ObservedDepartures returns listed instances that told this VM that they leave, at most MaxReportedLeaving. If there are more, half of
// them are the latest and the others take turns, so that repeated reports have all.
func (t *Table) ObservedDepartures() []ProcessHash {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []*departure
	for _, d := range t.departures {
		if !d.toldAt.IsZero() && t.listed(d) != nil {
			list = append(list, d)
		}
	}
	slices.SortFunc(list, func(a, b *departure) int {
		return cmp.Or(b.since.Compare(a.since), cmp.Compare(a.id, b.id))
	})
	if len(list) > MaxReportedLeaving {
		const half = MaxReportedLeaving / 2
		turns := slices.Collect(slices.Chunk(list[half:], half))
		list = slices.Concat(list[:half], turns[time.Now().Unix()/reportTurn%int64(len(turns))])
	}
	var out []ProcessHash
	for _, d := range list {
		out = append(out, processOf(&t.listed(d).Instance).hash())
	}
	return out
}

// ApplyDepartures marks the listed instances that told other VMs that they leave, and returns those for which that is news.
func (t *Table) ApplyDepartures(reported map[ProcessHash]bool) []chestnutcleat.InstanceID {
	if len(reported) == 0 {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	var news []chestnutcleat.InstanceID
	for id, s := range t.byID {
		if p := processOf(&s.Instance); !s.departed && reported[p.hash()] && t.markLeaving(p, time.Time{}) {
			news = append(news, id)
		}
	}
	slices.Sort(news)
	return news
}
