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

// covers reports whether q leaves if p does. A registration that doesn't tell the start is not taken for a new one.
func (p process) covers(q process) bool {
	return p == q || p.id == q.id && p.startedAt != 0 && q.startedAt == 0
}

// ProcessHash identifies one start of an instance in reports between VMs.
type ProcessHash uint32

func (p process) hash() ProcessHash {
	return ProcessHash(xxhash.Sum64String(fmt.Sprintf("%s %s %d", p.id, p.address, p.startedAt)))
}

// departure is the knowledge that an instance leaves, which only a new start of the instance ends.
type departure struct {
	// observed is set if this VM has it from an answer of the instance, and not only from another VM.
	observed bool
	since    time.Time
	// unlistedSince is the time of the first list without the instance, or zero while it is listed.
	unlistedSince time.Time
}

// listedProcess returns the listed instance that leaves if p does, or nil. The caller holds t.mu.
func (t *Table) listedProcess(p process) *instanceState {
	if s := t.byID[p.id]; s != nil && s.listed && p.covers(processOf(&s.Instance)) {
		return s
	}
	return nil
}

// MarkLeaving records that the assignment's instance said that it leaves. It reports whether that is news.
func (a *Assignment) MarkLeaving() bool {
	t := a.table
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.markLeaving(processOf(&a.Instance), true)
}

// markLeaving records a departure and reports whether it is news. The caller holds t.mu.
func (t *Table) markLeaving(p process, observed bool) bool {
	d, known := t.departures[p]
	if !known {
		d = &departure{since: time.Now()}
		t.departures[p] = d
	}
	d.observed = d.observed || observed
	s := t.listedProcess(p)
	if s == nil {
		return !known
	}
	s.departed = true
	return !known && !s.Leaving
}

// refreshDepartures marks the listed instances that are known to leave and forgets those that have not been listed for long. The caller
// holds t.mu.
func (t *Table) refreshDepartures(now time.Time) {
	for p, d := range t.departures {
		s := t.listedProcess(p)
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

// notYetDeparted returns the listed instances that have not said themselves that they leave. The caller holds t.mu.
func (t *Table) notYetDeparted(list []process) []chestnutcleat.InstanceID {
	var ids []chestnutcleat.InstanceID
	for _, p := range list {
		if s := t.listedProcess(p); s != nil && !s.departed {
			ids = append(ids, p.id)
		}
	}
	return ids
}

// ObservedDepartures returns the listed instances that told this VM that they leave, the latest ones first, at most
// MaxReportedLeaving.
func (t *Table) ObservedDepartures() []ProcessHash {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []process
	for p, d := range t.departures {
		if d.observed && t.listedProcess(p) != nil {
			list = append(list, p)
		}
	}
	slices.SortFunc(list, func(a, b process) int {
		return cmp.Or(t.departures[b].since.Compare(t.departures[a].since), cmp.Compare(a.id, b.id))
	})
	var out []ProcessHash
	for _, p := range list[:min(len(list), MaxReportedLeaving)] {
		out = append(out, p.hash())
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
		if p := processOf(&s.Instance); !s.departed && reported[p.hash()] && t.markLeaving(p, false) {
			news = append(news, id)
		}
	}
	slices.Sort(news)
	return news
}
