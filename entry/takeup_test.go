package entry

import (
	"context"
	"io"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/config"
	"chestnutcleat.example/chestnutcleat/standin/instance"
)

// A stream that its caller takes up again must go on at the version that began it, at any VM, and all of them must go on while two
// instances of the version serve.
func TestTakeUpKeepsVersion(t *testing.T) {
	runVersions(t, 3, twoVersions, func(h *versionHarness) {
		for n := range 24 {
			id := streamID(n)
			version := h.begin(n%3, id)
			h.expectRest(h.takeUp((n+1)%3, attemptID(id, 1), id, 2), version, 2)
		}
	})
}

// After a loss of all entry VMs at once streams must go on at the version that began them, although no VM remembers it.
func TestTakeUpAfterLossOfAllVMs(t *testing.T) {
	runVersions(t, 2, twoVersions, func(h *versionHarness) {
		versions := map[int]string{}
		for n := range 12 {
			versions[n] = h.begin(n%2, streamID(n))
		}
		h.restartVMs()
		for n, version := range versions {
			h.expectRest(h.takeUp(n%2, attemptID(streamID(n), 1), streamID(n), 2), version, 2)
		}
	})
}

// A stream whose version has left must not go on at another one.
func TestTakeUpOfVersionThatLeft(t *testing.T) {
	runVersions(t, 2, twoVersions[:1], func(h *versionHarness) {
		h.begin(0, streamID(0))
		h.add("b1", "v2")
		h.remove("a1")
		h.restartVMs()
		again := attemptID(streamID(0), 1)
		h.expectRefused("instances", again, h.takeUp(1, again, streamID(0), 2))
	})
}

// Only an attempt of the same customer that is on record says which software version began a stream. Whatever else a caller names must be
// refused while two versions are registered, not joined.
func TestResumes(t *testing.T) {
	const other = "key of d"
	for name, c := range map[string]struct {
		resumes func(id string) string
		key     string
		refused string
	}{
		"original":       {func(id string) string { return id }, "", ""},
		"other customer": {func(id string) string { return id }, other, "unknown"},
		"unknown":        {func(string) string { return "nobody" }, "", "unknown"},
		"itself":         {func(id string) string { return attemptID(id, 1) }, "", "unknown"},
		"absent":         {func(string) string { return "" }, "", "unknown"},
		"repeated":       {func(id string) string { return id + "|" + id }, "", "unknown"},
		"two":            {func(id string) string { return id + "|nobody" }, "", "unknown"},
	} {
		t.Run(name, func(t *testing.T) {
			runVersions(t, 2, twoVersions, func(h *versionHarness) {
				for n := range 4 {
					id := streamID(n)
					version := h.begin(0, id)
					var pairs []string
					if c.key != "" {
						pairs = []string{"Authorization", "Bearer " + c.key}
					}
					r := h.takeUp(1, attemptID(id, 1), c.resumes(id), 2, pairs...)
					if c.refused != "" {
						h.expectRefused(c.refused, attemptID(id, 1), r)
						continue
					}
					h.expectRest(r, version, 2)
				}
			})
		})
	}
}

// A caller may take up a take-up that broke off as well, by the name of either attempt.
func TestTakeUpOfTakeUp(t *testing.T) {
	runVersions(t, 3, twoVersions, func(h *versionHarness) {
		for n := range 8 {
			id := streamID(n)
			version := h.begin(0, id)
			h.setFaults(instance.Faults{BreakAfter: 1})
			r := h.takeUp(1, attemptID(id, 1), id, 2)
			h.setFaults(instance.Faults{})
			h.is.Equal(r.versions, []string{version})
			h.is.Equal(r.last(), 3)
			h.expectRest(h.takeUp(2, attemptID(id, 2), attemptID(id, n%2), 3), version, 3)
		}
	})
}

// A service that was drawn by weight must go on with its own streams, also where versions have the same name, and a stream whose service
// the route no longer leads to must not go on at all.
func TestTakeUpOfSplitService(t *testing.T) {
	runVersions(t, 2, twoVersions[:3], func(h *versionHarness) {
		h.addTo("other", "c1", "v1")
		split := func(model, other int) {
			list := routes()
			for i := range list {
				if list[i].Name == "once" {
					list[i].Targets = []config.Target{{Service: "model", Weight: model}, {Service: "other", Weight: other}}
				}
			}
			h.table = config.NewTable(config.Config{Routes: list, Customers: h.table.Customers})
		}
		split(1, 1)
		at := func(id string) string { return h.log.Runs(id)[0].Instance }
		began := map[bool]int{}
		for n := range 16 {
			id := streamID(n)
			h.begin(0, id)
			h.is.True(h.takeUp(1, attemptID(id, 1), id, 2).complete)
			h.is.Equal(at(id) == "c1", at(attemptID(id, 1)) == "c1")
			began[at(id) == "c1"]++
		}
		h.is.True(began[true] > 0 && began[false] > 0)
		split(0, 1)
		id := streamID(20)
		h.begin(0, id)
		split(1, 0)
		h.expectRefused("service", attemptID(id, 1), h.takeUp(1, attemptID(id, 1), id, 2))
	})
}

// Without a quorum of replicas a stream is still served, but it must not be joined afterwards: its version can't be read.
func TestTakeUpWithoutQuorum(t *testing.T) {
	runVersions(t, 2, twoVersions, func(h *versionHarness) {
		known := streamID(0)
		version := h.begin(0, known)
		h.network.Detach("store")
		h.expectRefused("unreadable", attemptID(known, 1), h.takeUp(1, attemptID(known, 1), known, 2))
		start := time.Now()
		unrecorded := streamID(1)
		h.begin(0, unrecorded)
		h.is.True(time.Since(start) < time.Second)
		h.expectRefused("unreadable", attemptID(unrecorded, 1), h.takeUp(1, attemptID(unrecorded, 1), unrecorded, 2))
		h.expectRefused("unreadable", attemptID(unrecorded, 2), h.takeUp(0, attemptID(unrecorded, 2), "", 2))
		h.restartVM(0) // what it could not write is lost
		h.network.Attach("store", h.mux)
		time.Sleep(time.Second)
		h.expectRefused("unknown", attemptID(unrecorded, 3), h.takeUp(1, attemptID(unrecorded, 3), unrecorded, 2))
		h.expectRest(h.takeUp(1, attemptID(known, 2), known, 2), version, 2)
	})
}

// A stream that began while no write quorum answered must be on record once one answers again, as long as it may be taken up. Its write was
// given up after 5 s: a caller that named it was refused, and one that named none got the version that other streams of the route had.
func TestRecordIsWrittenLate(t *testing.T) {
	runVersions(t, 2, [][2]string{{"a1", "v1"}}, func(h *versionHarness) {
		h.network.Detach("store")
		id := streamID(0)
		h.begin(0, id)
		h.add("b1", "v2")
		time.Sleep(15 * time.Second)
		h.network.Attach("store", h.mux)
		time.Sleep(time.Second)
		h.restartVMs()
		h.expectRest(h.takeUp(1, attemptID(id, 1), id, 2), "v1", 2)
		h.remove("a1")
		h.begin(1, streamID(1))
		h.restartVMs()
		h.expectRefused("unknown", attemptID(id, 2), h.takeUp(0, attemptID(id, 2), "", 2))
	})
}

// Instances that are leaving must not get take-ups, which would be cut again.
func TestTakeUpAvoidsLeavingInstance(t *testing.T) {
	runVersions(t, 2, twoVersions[:1], func(h *versionHarness) {
		id := streamID(0)
		h.begin(0, id)
		h.list = slices.Clone(h.list)
		h.list[0].Leaving = true
		h.register()
		h.expectRefused("instances", attemptID(id, 1), h.takeUp(1, attemptID(id, 1), id, 2))
	})
}

// The origin of a stream must pass to the replicas of a set that changed between its begin and its take-up.
func TestTakeUpAfterReplicaSetChange(t *testing.T) {
	runVersions(t, 2, twoVersions, func(h *versionHarness) {
		versions := map[int]string{}
		for n := range 4 {
			versions[n] = h.begin(0, streamID(n))
		}
		before := h.replicas
		ctx, cancel := context.WithCancel(h.t.Context())
		defer cancel()
		next, store := h.startReplicaAt(ctx, "store2")
		joint := chestnutcleat.ReplicaSet{Version: before.Version + 1, Disks: before.Disks, NextDisks: next.Disks}
		for _, v := range h.vms {
			v.handler.Ledger.SetReplicaSet(joint)
		}
		h.expectRest(h.takeUp(1, attemptID(streamID(0), 1), streamID(0), 2), versions[0], 2) // before the next replica has copied
		h.is.NoErr(store.Join(ctx, next.Disks[0], joint))
		h.expectRest(h.takeUp(1, attemptID(streamID(1), 1), streamID(1), 2), versions[1], 2)
		versions[4] = h.begin(0, streamID(4))
		h.replicas = chestnutcleat.ReplicaSet{Version: joint.Version + 1, Disks: next.Disks}
		h.is.NoErr(store.Adopt(ctx, h.replicas))
		h.network.Detach("store")
		h.restartVMs()
		for n, version := range versions {
			h.expectRest(h.takeUp(n%2, attemptID(streamID(n), 2), streamID(n), 2), version, 2)
		}
	})
}

// A refused take-up must not use up its customer's rate: nothing ran.
func TestRefusedTakeUpReturnsItsToken(t *testing.T) {
	runVersions(t, 1, twoVersions, func(h *versionHarness) {
		busy := []string{"Authorization", "Bearer key of busy"}
		time.Sleep(10 * time.Second) // the limit of the customer is available: 6 in 5 s
		for n := 1; n <= 20; n++ {
			h.expectRefused("unknown", attemptID(streamID(0), n), h.takeUp(0, attemptID(streamID(0), n), "nobody", 2, busy...))
		}
		for n := range 6 {
			h.is.Equal(h.stream(0, once, streamID(n), busy...).status, 200)
		}
		h.is.Equal(h.stream(0, once, streamID(6), busy...).status, 429)
	})
}

// A caller that uses one request id for two streams must get neither joined with the other: the stream that began at a later try decided for
// both.
func TestTakeUpOfIDUsedTwice(t *testing.T) {
	runVersions(t, 2, twoVersions[:2], func(h *versionHarness) {
		later := 0
		for n := range 12 {
			id := streamID(n)
			if h.begin(0, id) != "v1" {
				continue
			}
			h.setFaults(instance.Faults{BreakAfter: 2})
			h.servers["a1"].SetFaults(instance.Faults{ErrorRate: 1})
			h.is.Equal(h.stream(1, moves, id).versions, []string{"v2"})
			h.setFaults(instance.Faults{})
			later++
			h.expectRefused("contradiction", attemptID(id, 1), h.takeUp(1, attemptID(id, 1), id, 2))
		}
		h.is.True(later > 0)
	})
}

// An instance that begins a taken-up stream anew must not be passed on: its caller has the first events already.
func TestTakeUpThatBeginsAnew(t *testing.T) {
	handle := func(r *receivedRequest, q *http.Request, w io.Writer) bool {
		writeEvents(q, w, 1, 2+2*r.n, r.n > 1) // the first request breaks off
		return r.n > 1
	}
	runInBubble(t, handle, func(is *is.I, h *harness) {
		_, text, err := h.do(h.t.Context(), once, "")
		is.True(err != nil)
		is.Equal(text, streamText(4))
		resp, text, err := h.do(h.t.Context(), once, "", "Chestnutcleat-Request-Id", "r2", "Last-Event-Id", "4", "Resumes", "r1")
		is.NoErr(err)
		is.Equal(resp.StatusCode, 502)
		is.True(!strings.Contains(text, "piece"))
	})
}
