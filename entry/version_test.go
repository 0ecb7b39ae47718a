package entry

import (
	"slices"
	"testing"
	"time"

	"chestnutcleat.example/chestnutcleat/config"
	"chestnutcleat.example/chestnutcleat/standin/instance"
)

// A stream that broke off must go on within its response only at the software version that began it. Instances of any version
// continued it, and the caller got joined text.
func TestStreamKeepsItsVersion(t *testing.T) {
	t.Run("other version registered", func(t *testing.T) {
		runVersions(t, 1, twoVersions, func(h *versionHarness) {
			for n := range 12 {
				h.setFaults(instance.Faults{BreakAfter: 2})
				r := h.stream(0, moves, streamID(n))
				h.is.Equal(r.status, 200)
				h.is.Equal(len(r.versions), 1)
				h.is.Equal(r.last(), 4) // the other instance of the version went on
			}
		})
	})
	t.Run("no other instance of the version", func(t *testing.T) {
		runVersions(t, 1, twoVersions[:2], func(h *versionHarness) {
			for n := range 6 {
				h.setFaults(instance.Faults{BreakAfter: 2})
				r := h.stream(0, moves, streamID(n))
				h.is.Equal(len(r.versions), 1)
				h.is.Equal(r.last(), 2)
				h.is.True(!r.complete)
			}
		})
	})
}

// An instance whose registration gets another version while it is asked must begin no stream: the record would name the version of
// before.
func TestRegistrationChangesWhileAsked(t *testing.T) {
	runVersions(t, 2, twoVersions[:1], func(h *versionHarness) {
		h.add("b1", "v2")
		changed := slices.Clone(h.list)
		changed[0].Version = "v2"
		h.remove("b1")
		h.setFaults(instance.Faults{Delay: 100 * time.Millisecond, BreakAfter: 2})
		time.AfterFunc(50*time.Millisecond, func() { h.vms[0].handler.Instances.SetInstances(changed) })
		id := streamID(0)
		r := h.stream(0, moves, id)
		h.is.Equal(r.versions, []string{"v2"}) // the other instance began
		h.is.Equal(len(h.log.Runs(id)), 2)
		h.setFaults(instance.Faults{})
		h.list = changed[1:]
		h.register()
		h.expectRest(h.takeUp(1, attemptID(id, 1), id, r.last()), "v2", r.last())
	})
}

// Where an instance fails before its first event and one of another version begins the stream, that one must be on record.
func TestLaterTryIsRecorded(t *testing.T) {
	runVersions(t, 2, [][2]string{{"a1", "v1"}, {"b1", "v2"}}, func(h *versionHarness) {
		later := 0
		for n := range 12 {
			id := streamID(n)
			h.servers["a1"].SetFaults(instance.Faults{ErrorRate: 1})
			h.servers["b1"].SetFaults(instance.Faults{BreakAfter: 2})
			r := h.stream(0, moves, id)
			h.setFaults(instance.Faults{})
			h.is.Equal(r.status, 200)
			h.is.Equal(r.versions, []string{"v2"})
			if len(h.log.Runs(id)) > 1 && h.log.Runs(id)[0].Version == "v1" {
				later++
			}
			h.expectRest(h.takeUp(1, attemptID(id, 1), id, r.last()), "v2", r.last())
		}
		h.is.True(later > 0)
	})
}

// A kept turn must have its whole output. One that goes on within its response does; of one that its caller takes up only a part would
// be stored, so it is refused.
func TestKeptStreamThatResumes(t *testing.T) {
	runVersions(t, 1, twoVersions, func(h *versionHarness) {
		list := routes()
		for i := range list {
			if list[i].Name == "once" {
				list[i].Retained, list[i].Retention, list[i].MaxAttempts = true, time.Minute, 2
			}
		}
		h.table = config.NewTable(config.Config{Routes: list, Customers: h.table.Customers})
		id := streamID(0)
		broken := 0
		for _, s := range h.servers {
			if broken++; broken%2 == 0 {
				s.SetFaults(instance.Faults{BreakAfter: 2})
			}
		}
		r := h.stream(0, once, id)
		h.is.Equal(len(r.versions), 1)
		h.setFaults(instance.Faults{})
		if r.complete {
			h.is.True(h.stream(0, once, streamID(1), "Chestnutcleat-Previous-Turn", id).complete)
			name := instance.StreamName(once, id)
			h.is.Equal(h.log.Runs(streamID(1))[0].Body, name+instance.Output(name, r.versions[0])+instance.StreamName(once, streamID(1)))
		}
		h.expectRefused("route", attemptID(streamID(2), 1), h.takeUp(0, attemptID(streamID(2), 1), id, 2))
	})
}

// The record of a stream's version must cost no append of its own on the path of a turn with a budget.
func TestVersionIsRecordedWithReservation(t *testing.T) {
	runVersions(t, 1, twoVersions, func(h *versionHarness) {
		before := h.appends.n.Load()
		r := h.stream(0, moves, streamID(0), "Chestnutcleat-Program-Id", "p", "Chestnutcleat-Token-Budget", "1000", "Chestnutcleat-Token-Count", "9,50")
		h.is.True(r.complete)
		time.Sleep(time.Second)
		h.is.Equal(h.appends.n.Load()-before, int32(2)) // the reservation with the version; the settlement
		before = h.appends.n.Load()
		h.is.True(h.stream(0, moves, streamID(1)).complete)
		time.Sleep(time.Second)
		h.is.Equal(h.appends.n.Load()-before, int32(1)) // beside the request
	})
}

// A caller must not have an event of a stream whose version is not on record yet: its take-up would be unknown, or taken for one of an
// earlier try.
func TestFirstEventWaitsForRecord(t *testing.T) {
	t.Run("slow replica", func(t *testing.T) {
		runVersions(t, 1, twoVersions, func(h *versionHarness) {
			const delay = 300 * time.Millisecond
			h.appends.delay.Store(int64(delay))
			start := time.Now()
			h.begin(0, streamID(0))
			h.is.True(time.Since(start) >= delay)
			h.is.True(time.Since(start) < 2*delay) // the instance was asked meanwhile
		})
	})
	t.Run("later try at a slow replica", func(t *testing.T) {
		runVersions(t, 1, [][2]string{{"a1", "v1"}, {"b1", "v2"}}, func(h *versionHarness) {
			// The second append waits for the first, so that it takes longer than the first try of a stream would wait.
			h.appends.delay.Store(int64(400 * time.Millisecond))
			h.servers["a1"].SetFaults(instance.Faults{ErrorRate: 1, Delay: 50 * time.Millisecond})
			later := 0
			for n := range 8 {
				start := time.Now()
				r := h.stream(0, moves, streamID(n))
				h.is.Equal(r.versions, []string{"v2"})
				h.is.True(r.complete)
				if h.log.Runs(streamID(n))[0].Version == "v1" {
					later++
					h.is.True(time.Since(start) > recordTimeout)
				}
				time.Sleep(time.Second)
			}
			h.is.True(later > 0)
		})
	})
	t.Run("later try without quorum", func(t *testing.T) {
		runVersions(t, 1, [][2]string{{"a1", "v1"}, {"b1", "v2"}}, func(h *versionHarness) {
			lost := 0
			for n := range 8 {
				id := streamID(n)
				h.servers["a1"].SetFaults(instance.Faults{ErrorRate: 1, Delay: 100 * time.Millisecond})
				time.AfterFunc(50*time.Millisecond, func() { h.network.Detach("store") })
				r := h.stream(0, moves, id)
				if runs := h.log.Runs(id); len(runs) > 1 && runs[0].Version == "v1" {
					lost++
					h.is.True(r.status != 200) // the replica has v1 on record
				}
				h.network.Attach("store", h.mux)
				time.Sleep(10 * time.Second)
			}
			h.is.True(lost > 0)
		})
	})
}
