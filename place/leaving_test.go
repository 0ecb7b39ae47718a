package place

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"chestnutcleat.example/chestnutcleat"
)

// What a VM learned from an instance itself, that it leaves, must not be undone by anything but a new start of the instance: old lists
// and registrations that lag behind named it as ready again, and it got requests after it had stopped taking them.
func TestDepartureIsNotUndone(t *testing.T) {
	leaving := instances(1)[0]
	changed := func(change func(i *chestnutcleat.Instance)) []chestnutcleat.Instance {
		i := leaving
		change(&i)
		return []chestnutcleat.Instance{i}
	}
	tests := []struct {
		name  string
		after func(table *Table, a *Assignment)
		used  bool
	}{
		{"registered as ready", func(table *Table, _ *Assignment) { table.SetInstances(instances(1)) }, false},
		{"absent from a list and back in an older one", func(table *Table, _ *Assignment) {
			table.SetInstances(nil)
			time.Sleep(time.Minute)
			table.SetInstances(instances(1))
		}, false},
		{"registered as leaving and then as ready", func(table *Table, _ *Assignment) {
			table.SetInstances(changed(func(i *chestnutcleat.Instance) { i.Leaving = true }))
			table.SetInstances(instances(1))
		}, false},
		{"other slots registered", func(table *Table, _ *Assignment) {
			table.SetInstances(changed(func(i *chestnutcleat.Instance) { i.Slots++ }))
		}, false},
		{"a success ends its backoff", func(_ *Table, a *Assignment) { a.End(Success) }, false},
		{"its ejection ends", func(table *Table, a *Assignment) {
			a.End(InstanceError)
			table.EjectOutliers()
			time.Sleep(2 * maxEjectionTime)
		}, false},
		{"started again", func(table *Table, _ *Assignment) {
			table.SetInstances(changed(func(i *chestnutcleat.Instance) { i.StartedAt = later() }))
		}, true},
		{"started again elsewhere", func(table *Table, _ *Assignment) {
			table.SetInstances(changed(func(i *chestnutcleat.Instance) { i.Address = "10.9.9.9:80" }))
		}, true},
		{"the earlier start is listed again", func(table *Table, _ *Assignment) {
			table.SetInstances(changed(func(i *chestnutcleat.Instance) { i.StartedAt = later() }))
			table.SetInstances(instances(1))
		}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				table := newTable(1)
				a := table.Pick(Request{Service: "s"})
				is.True(a.MarkLeaving(time.Now()))
				is.True(!a.MarkLeaving(time.Now())) // known
				is.Equal(table.Pick(Request{Service: "s"}), nil)
				tt.after(table, a)
				is.Equal(table.Pick(Request{Service: "s"}) != nil, tt.used)
			})
		})
	}
}

// An instance that left must be forgotten in the end, or a VM that runs for years keeps all of them.
func TestDeparturesAreForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		table := newTable(1)
		is.True(table.Pick(Request{Service: "s"}).MarkLeaving(time.Now()))
		table.SetInstances(nil)
		time.Sleep(leavingMemory + time.Second)
		table.SetInstances(nil)
		is.Equal(len(table.departures), 0)
	})
}

// The word of an instance must empty it at all VMs, and only it: one that always says that it leaves must not make others leave.
func TestReportedDepartures(t *testing.T) {
	is := is.New(t)
	a, b := newTable(3), newTable(3)
	assignment := a.Pick(Request{Service: "s"})
	assignment.MarkLeaving(time.Now())
	reported := map[ProcessHash]bool{}
	for _, p := range a.ObservedDepartures() {
		reported[p] = true
	}
	is.Equal(len(reported), 1)
	is.Equal(b.ApplyDepartures(reported), []chestnutcleat.InstanceID{assignment.ID})
	is.Equal(len(b.ApplyDepartures(reported)), 0) // no news
	is.Equal(len(b.ObservedDepartures()), 0)      // only the instance's own word is reported on
	seen := map[chestnutcleat.InstanceID]bool{}
	for range 200 {
		seen[b.Pick(Request{Service: "s"}).ID] = true
	}
	is.Equal(len(seen), 2)
	is.True(!seen[assignment.ID])
}

// An instance that left and was in the list for a long time without a change must be remembered from the moment at which it is not
// listed any more: it was forgotten with the next list, and an older list that named it once more made it get requests.
func TestDepartureOutlastsUnchangedList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		table := newTable(1)
		is.True(table.Pick(Request{Service: "s"}).MarkLeaving(time.Now()))
		time.Sleep(leavingMemory + time.Minute)
		for range 2 {
			table.SetInstances(nil)
			time.Sleep(time.Second)
		}
		table.SetInstances(instances(1))
		is.Equal(table.Pick(Request{Service: "s"}), nil)
	})
}

// later returns the time of a start after all answers so far, in Unix milliseconds.
func later() int64 { return time.Now().Add(time.Minute).UnixMilli() }

// A registration that changes in anything but the start of its instance must not undo that this start leaves: one from another writer
// without a start, and one with another address, made a leaving instance get requests again. The start that answered may not be the listed
// one, if the list is old: the next list, which named it, made it get requests again.
func TestDepartureIsOfOneStart(t *testing.T) {
	for _, tt := range []struct {
		name   string
		change func(i *chestnutcleat.Instance)
		used   bool
	}{
		{"no start", func(i *chestnutcleat.Instance) { i.StartedAt = 0 }, false},
		{"no start, other address", func(i *chestnutcleat.Instance) { i.StartedAt, i.Address = 0, "10.9.9.9:80" }, false},
		{"other address", func(i *chestnutcleat.Instance) { i.Address = "10.9.9.9:80" }, false},
		{"other service", func(i *chestnutcleat.Instance) { i.Service = "s2" }, false},
		{"earlier start, in an older list", func(i *chestnutcleat.Instance) { i.StartedAt-- }, false},
		{"start after the listed one and before the answer", func(i *chestnutcleat.Instance) { i.StartedAt++ }, false},
		{"start after the answer", func(i *chestnutcleat.Instance) { i.StartedAt = later() }, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			i := instances(1)[0]
			i.StartedAt = 1000
			table := NewTable()
			table.SetInstances([]chestnutcleat.Instance{i})
			is.True(table.Pick(Request{Service: "s"}).MarkLeaving(time.Now()))
			tt.change(&i)
			table.SetInstances([]chestnutcleat.Instance{i})
			is.Equal(table.Pick(Request{Service: i.Service}) != nil, tt.used)
		})
	}
}

// A VM that runs for days among instances that come and go must not keep those that left, and must keep what it was told of the last
// minutes.
func TestDeparturesAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		table := NewTable()
		const lifetime = 2 * time.Second
		for range 5000 {
			i := instances(1)[0]
			i.StartedAt = time.Now().UnixMilli()
			table.SetInstances([]chestnutcleat.Instance{i})
			is.True(table.Pick(Request{Service: "s"}).MarkLeaving(time.Now()))
			is.Equal(len(table.ObservedDepartures()), 1)
			time.Sleep(lifetime)
		}
		is.True(len(table.departures) <= int(leavingMemory/lifetime)+2)
		is.True(len(table.departures) >= int(leavingMemory/lifetime))
	})
}

// A VM must report once that an instance leaves, from the source that told it first.
func TestDepartureIsNewsOnce(t *testing.T) {
	is := is.New(t)
	ready := instances(2)
	draining := instances(2)
	draining[0].Leaving, draining[1].Leaving = true, true
	table := NewTable()
	is.Equal(len(table.SetInstances(ready)), 0)
	a, b := table.Pick(Request{Service: "s"}), table.Pick(Request{Service: "s"})
	for b.ID == a.ID {
		b = table.Pick(Request{Service: "s"})
	}
	is.True(a.MarkLeaving(time.Now()))
	is.Equal(table.SetInstances(draining), []chestnutcleat.InstanceID{b.ID}) // the word of a was known
	is.Equal(len(table.SetInstances(draining)), 0)
	is.True(!b.MarkLeaving(time.Now()))
}

// A registration that gains the start of its instance must not undo that the instance leaves, unless it started after the answer: with the
// whole registration back, after one of another writer, a leaving instance got requests again.
func TestDepartureOutlastsRegistrationWithoutStart(t *testing.T) {
	for name, tt := range map[string]struct {
		start int64
		used  bool
	}{
		"start before the answer": {1000, false},
		"start after the answer":  {later(), true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			table := newTable(1)
			is.True(table.Pick(Request{Service: "s"}).MarkLeaving(time.Now()))
			i := instances(1)[0]
			i.StartedAt = tt.start
			table.SetInstances([]chestnutcleat.Instance{i})
			is.Equal(table.Pick(Request{Service: "s"}) != nil, tt.used)
		})
	}
}

// A registration with a start in the far future, by a fault, must not keep all later starts of its instance out.
func TestDepartureWithOddStart(t *testing.T) {
	is := is.New(t)
	i := instances(1)[0]
	i.StartedAt = 1 << 52
	table := NewTable()
	table.SetInstances([]chestnutcleat.Instance{i})
	is.True(table.Pick(Request{Service: "s"}).MarkLeaving(time.Now()))
	is.Equal(table.Pick(Request{Service: "s"}), nil)
	i.StartedAt = later()
	table.SetInstances([]chestnutcleat.Instance{i})
	is.True(table.Pick(Request{Service: "s"}) != nil)
}

// A VM with an old list must tell the others of the start that is listed now: they got the hash of a start that they did not know.
func TestReportedDepartureIsOfTheListedStart(t *testing.T) {
	is := is.New(t)
	listed := func(start int64) *Table {
		i := instances(1)[0]
		i.StartedAt = start
		table := NewTable()
		table.SetInstances([]chestnutcleat.Instance{i})
		return table
	}
	a, b := listed(1000), listed(2000)
	is.True(a.Pick(Request{Service: "s"}).MarkLeaving(time.Now()))
	i := instances(1)[0]
	i.StartedAt = 2000
	a.SetInstances([]chestnutcleat.Instance{i})
	reported := map[ProcessHash]bool{}
	for _, p := range a.ObservedDepartures() {
		reported[p] = true
	}
	is.Equal(b.ApplyDepartures(reported), []chestnutcleat.InstanceID{i.ID})
}
