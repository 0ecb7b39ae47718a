package entry

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/config"
	"chestnutcleat.example/chestnutcleat/ledger"
	"chestnutcleat.example/chestnutcleat/place"
	"chestnutcleat.example/chestnutcleat/standin/instance"
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
				h.restartVM(0) // what it could not write is lost
				h.add("b1", "v2")
				h.add("b2", "v2")
				h.remove("a1")
				h.remove("a2")
				h.network.Attach("store", h.mux)
				time.Sleep(time.Second)
				forget(h)
				h.begin(1, streamID(1))
				is.Equal(version, "v1")
				for vm := range h.vms {
					is.Equal(h.takeUp(vm, attemptID(id, 1+vm), id, 2).status, 503)
				}
			})
		})
	}
}

// An instance that has sent its first event must not be given up while its record is awaited: with a version that only it served, the stream
// broke off.
func TestInstanceIsNotGivenUpForItsRecord(t *testing.T) {
	runVersions(t, 1, [][2]string{{"a1", "v1"}, {"b1", "v2"}}, func(h *versionHarness) {
		is := is.New(t)
		h.table = planRoute(100*time.Millisecond, 2)
		h.appends.delay.Store(int64(recordTimeout - 50*time.Millisecond))
		for n := range 6 {
			is.True(h.stream(0, moves, streamID(n)).complete)
			time.Sleep(2 * time.Second)
		}
	})
}

// An instance of another version than the first one tried must not be given up for its record either.
func TestLaterInstanceIsNotGivenUpForItsRecord(t *testing.T) {
	runVersions(t, 1, [][2]string{{"a1", "v1"}, {"b1", "v2"}, {"a2", "v1"}}, func(h *versionHarness) {
		is := is.New(t)
		h.servers["a1"].ID = "other" // the instance declines: it is not the one that is registered
		h.appends.delay.Store(int64(400 * time.Millisecond))
		for n := range 16 {
			is.True(h.stream(0, moves, streamID(n)).complete)
			time.Sleep(3 * time.Second)
		}
	})
}

// planRoute returns the configuration with another longest gap between events and number of attempts of resumable streams.
func planRoute(gap time.Duration, attempts int) *config.Table {
	base := configuration("key")
	c := config.Config{Routes: routes(), Services: base.Services, Customers: base.Customers}
	for i := range c.Routes {
		if r := &c.Routes[i]; r.Resumable {
			r.MaxEventGap, r.MaxAttempts = gap, attempts
		}
	}
	return config.NewTable(c)
}

// A stream whose first instance fails must go to another one of the same version while no write quorum answers: one of another version
// had to wait for its record until the deadline, and the caller got nothing.
func TestLaterTryKeepsVersionWithoutQuorum(t *testing.T) {
	runVersions(t, 1, [][2]string{{"a1", "v1"}, {"a2", "v1"}, {"b1", "v2"}, {"b2", "v2"}}, func(h *versionHarness) {
		is := is.New(t)
		h.network.Detach("store")
		h.begin(0, streamID(0))
		time.Sleep(7 * time.Second)
		h.servers["a1"].SetFaults(instance.Faults{ErrorRate: 1})
		retried := 0
		for n := 1; n < 25; n++ {
			id := streamID(n)
			r := h.stream(0, moves, id)
			if runs := h.log.Runs(id); runs[0].Instance == "a1" && len(runs) > 1 {
				retried++
				is.Equal(r.status, 200)
			}
			time.Sleep(6 * time.Second)
		}
		is.True(retried > 0)
	})
}

// A caller's own wait must not decide for how long the replicas keep the record of its stream: with waits of an hour, 100 streams a second
// filled them, and reservations were refused.
func TestRecordLifeIsBounded(t *testing.T) {
	is := is.New(t)
	for _, tt := range []struct{ timeout, wait, want time.Duration }{
		{4 * time.Second, 0, 4 * time.Second},
		{4 * time.Second, time.Minute, time.Minute},
		{4 * time.Second, time.Hour, maxTakeUpWait},
		{time.Hour, time.Minute, time.Hour},
	} {
		q := &turn{call: &call{Request: &chestnutcleat.Request{Wait: tt.wait}, route: &config.Route{Timeout: tt.timeout}}}
		is.Equal(q.streamLifetime(), tt.want+recordMargin)
	}
}

// A version whose record could not even be sent must not be preferred for a later attempt: nothing names it.
func TestUnsentVersionIsNotPreferred(t *testing.T) {
	is := is.New(t)
	h := &Handler{Ledger: &ledger.Client{}, Observer: discardObserver{}}
	q := &turn{call: &call{Handler: h, Request: &chestnutcleat.Request{}, route: &config.Route{Resumable: true}, table: &config.Table{}}}
	q.sendBegin(&place.Assignment{Instance: chestnutcleat.Instance{Version: "v1"}})
	is.Equal(q.beginTries, 0)
	is.True(q.begun == nil)
}
