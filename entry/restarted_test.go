package entry

import (
	"testing"
	"time"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/place"
	"chestnutcleat.example/chestnutcleat/standin/instance"
)

// down ends the process of an instance, whose registration stays, and lets a VM find that nothing listens there.
func (h *versionHarness) down(vm int, id string) *instance.Server {
	h.t.Helper()
	address := chestnutcleat.Address(id)
	s := h.servers[address]
	delete(h.servers, address)
	for n := 50; !h.uncertain(vm, id); n++ {
		h.is.True(n < 100)
		h.stream(vm, moves, streamID(n))
	}
	return s
}

// uncertain reports whether a VM takes an instance for one that may have been started again.
func (h *versionHarness) uncertain(vm int, id string) bool {
	for n := range 200 {
		a := h.vms[vm].handler.Instances.Pick(place.Request{Service: "model", Key: streamID(n)})
		if a == nil {
			return false
		}
		a.End(place.Neutral)
		if string(a.ID) == id {
			return a.Uncertain
		}
	}
	return false
}

// An instance that starts again with another software version under its id and address must not go on with a stream before its new
// registration has come: the one of before still names the version that began the stream.
func TestInstanceStartsAgainAtOtherVersion(t *testing.T) {
	runVersions(t, 1, [][2]string{{"a1", "v1"}, {"a2", "v1"}}, func(h *versionHarness) {
		for n := range 4 {
			h.begin(0, streamID(n))
		}
		s := h.down(0, "a1")
		s.SetVersion("v2")
		h.servers["a1"] = s
		time.Sleep(3 * time.Second) // its backoff has ended
		for n := range 4 {
			h.expectRest(h.takeUp(0, attemptID(streamID(n), 1), streamID(n), 2), "v1", 2)
		}
		h.servers["a2"].SetFaults(instance.Faults{ErrorRate: 1})
		h.servers["a1"].SetFaults(instance.Faults{BreakAfter: 2})
		atNew := 0
		for n := 4; n < 24; n++ {
			r := h.stream(0, moves, streamID(n))
			if r.status != 200 {
				continue
			}
			atNew++
			h.is.Equal(r.versions, []string{"v2"})
			h.is.Equal(r.last(), 2) // a2 did not go on with it
			h.servers["a2"].SetFaults(instance.Faults{})
			again := h.takeUp(0, attemptID(streamID(n), 1), streamID(n), 2)
			h.is.Equal(again.status, 503)
			h.servers["a2"].SetFaults(instance.Faults{ErrorRate: 1})
		}
		h.is.True(atNew > 0)
		h.remove("a2")
		h.expectRefused("instances", attemptID(streamID(0), 2), h.takeUp(0, attemptID(streamID(0), 2), streamID(0), 2))
		h.list[0].Version, h.list[0].StartedAt = "v2", 7
		h.register()
		h.setFaults(instance.Faults{})
		h.begin(0, streamID(30))
		h.expectRest(h.takeUp(0, attemptID(streamID(30), 1), streamID(30), 2), "v2", 2)
	})
}

// An instance that could not be reached for a while, and has not been started again, must go on with its streams soon after.
func TestInstanceIsReachedAgain(t *testing.T) {
	runVersions(t, 1, [][2]string{{"a1", "v1"}, {"b1", "v2"}}, func(h *versionHarness) {
		id := ""
		for n := 0; id == ""; n++ {
			if h.begin(0, streamID(n)) == "v1" {
				id = streamID(n)
			}
		}
		h.servers["a1"] = h.down(0, "a1")
		time.Sleep(3 * time.Second) // its backoff has ended
		h.expectRefused("instances", attemptID(id, 1), h.takeUp(0, attemptID(id, 1), id, 2))
		for n := 100; n < 120; n++ {
			h.is.True(h.stream(0, moves, streamID(n)).complete)
		}
		h.expectRefused("instances", attemptID(id, 2), h.takeUp(0, attemptID(id, 2), id, 2))
		time.Sleep(3 * time.Second)
		h.expectRest(h.takeUp(0, attemptID(id, 3), id, 2), "v1", 2)
	})
}
