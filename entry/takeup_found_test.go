package entry

import (
	"testing"
	"time"
)

// A stream that no record names may go on while its service has had a single version for as long as records last, and not just after a
// start or a change of versions.
func TestTakeUpByRegistrations(t *testing.T) {
	const long = streamTimeout + recordMargin
	runVersions(t, 1, twoVersions[:1], func(h *versionHarness) {
		n := 0
		takeUp := func() (id string, r reply) {
			n++
			id = streamID(n)
			return id, h.takeUp(0, id, "nobody", 2)
		}
		id, r := takeUp()
		h.expectRefused("unknown", id, r) // just after the start
		time.Sleep(long)
		_, r = takeUp()
		h.expectRest(r, "v1", 2)
		_, found := h.lastEvents()
		h.is.Equal(found, "registrations")
		time.Sleep(long + 5*time.Second) // the record of this take-up has expired
		h.vms[0].handler.Instances.RestartVersionHistory()
		id, r = takeUp()
		h.expectRefused("unknown", id, r) // registrations may have been missed
		time.Sleep(long)
		_, r = takeUp()
		h.expectRest(r, "v1", 2)
		time.Sleep(long + 5*time.Second)
		h.add("b1", "v2")
		h.remove("b1")
		id, r = takeUp()
		h.expectRefused("unknown", id, r)     // another version was there
		time.Sleep(2*time.Hour + time.Second) // as long as versions that left are remembered
		h.table = configuration("key")
		id, r = takeUp()
		h.expectRefused("unknown", id, r) // the route may have led elsewhere
		time.Sleep(long)
		_, r = takeUp()
		h.expectRest(r, "v1", 2)
	})
}

// A caller may come back when the record of its stream has expired. A version that left before that must not be forgotten by then: the one
// that came after it was the only one for as long as records last, and went on with the stream.
func TestTakeUpAfterItsRecordExpired(t *testing.T) {
	runVersions(t, 1, twoVersions[:1], func(h *versionHarness) {
		id := h.outliveRecord()
		h.expectRefused("unknown", attemptID(id, 1), h.takeUp(0, attemptID(id, 1), id, 2))
	})
}

// All VMs may come back while the platform is down: without registrations nothing goes on, and with them each stream at its version.
func TestTakeUpAfterRestartWithoutPlatform(t *testing.T) {
	runVersions(t, 2, twoVersions, func(h *versionHarness) {
		id := streamID(0)
		version := h.begin(0, id)
		list := h.list
		h.list = nil
		h.restartVMs()
		h.expectRefused("instances", attemptID(id, 1), h.takeUp(0, attemptID(id, 1), id, 2))
		h.list = list
		h.register()
		h.expectRest(h.takeUp(1, attemptID(id, 2), id, 2), version, 2)
	})
}

// Callers need not name the attempt that they take up. While all streams of the route began at one software version they must go on, also
// right after a loss of all VMs, when no registration was followed for long.
func TestTakeUpWithoutResumes(t *testing.T) {
	runVersions(t, 2, [][2]string{{"a1", "v1"}, {"a2", "v1"}}, func(h *versionHarness) {
		for n := range 12 {
			h.begin(n%2, streamID(n))
		}
		h.restartVMs()
		for n := range 12 {
			h.expectRest(h.takeUp(n%2, attemptID(streamID(n), 1), "", 2), "v1", 2)
		}
		_, found := h.lastEvents()
		h.is.Equal(found, "route")
		h.add("b1", "v2")
		id := attemptID(streamID(0), 2)
		h.expectRefused("unknown", id, h.takeUp(0, id, "", 2)) // another version is registered
		h.remove("b1")
		h.expectRefused("unknown", id, h.takeUp(0, id, "", 2)) // and has just left
		h.restartVMs()
		h.expectRest(h.takeUp(0, attemptID(streamID(0), 3), "", 2), "v1", 2) // it began no stream
		h.remove("a1")
		h.remove("a2")
		h.add("b1", "v2")
		h.begin(0, streamID(13))
		h.restartVMs()
		h.expectRefused("unknown", id, h.takeUp(0, id, "", 2)) // streams of both began, one version has left
	})
}

// A caller that does not name its stream may come back when the stream's record has expired, too. The records of streams that began later
// say nothing about it: it went on at their version.
func TestTakeUpWithoutResumesAfterItsRecordExpired(t *testing.T) {
	runVersions(t, 1, twoVersions[:1], func(h *versionHarness) {
		id := h.outliveRecord()
		h.is.Equal(h.begin(0, streamID(1)), "v2")
		h.expectRefused("unknown", attemptID(id, 1), h.takeUp(0, attemptID(id, 1), "", 2))
	})
}

// outliveRecord begins a stream at v1, replaces its instance by one of v2 and waits until the stream's record has expired.
func (h *versionHarness) outliveRecord() (id string) {
	id = streamID(0)
	h.is.Equal(h.begin(0, id), "v1")
	h.add("b1", "v2")
	h.remove("a1")
	time.Sleep(2 * (streamTimeout + recordMargin))
	return id
}
