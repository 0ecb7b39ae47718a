package entry

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// A stream that began while no write quorum answered has no record. Streams of its route that began later, at another version, must not
// be taken for evidence of its own: a caller that named it got the text of two versions.
func TestUnrecordedStreamIsNotJoined(t *testing.T) {
	for name, forget := range map[string]func(h *versionHarness){
		"VMs go on":       func(*versionHarness) {},
		"all VMs restart": func(h *versionHarness) { h.restartVMs() },
		"the platform was away": func(h *versionHarness) {
			for _, v := range h.vms {
				v.handler.Instances.RestartVersionHistory()
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			runVersions(t, 2, [][2]string{{"a1", "v1"}, {"a2", "v1"}}, func(h *versionHarness) {
				is := is.New(t)
				h.network.Detach("store")
				id := streamID(0)
				version := h.begin(0, id)
				time.Sleep(6 * time.Second) // longer than the write of the record is tried
				h.add("b1", "v2")
				h.add("b2", "v2")
				h.remove("a1")
				h.remove("a2")
				h.network.Attach("store", h.mux)
				time.Sleep(time.Second)
				forget(h)
				h.begin(1, streamID(1))
				r := h.takeUp(0, attemptID(id, 1), id, 2)
				is.Equal(version, "v1")
				is.Equal(r.status, 503)
			})
		})
	}
}
