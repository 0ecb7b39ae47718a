package role

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/mirror"
	"chestnutcleat.example/chestnutcleat/peer"
)

// The status must show how old its data is: on-call engineers need that to explain a wrong decision.
func TestStatusAges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		heard, never := &mirror.Mirror{Kind: "config"}, &mirror.Mirror{Kind: "servers"}
		heard.Merge(mirror.Snapshot{Version: 7, Objects: []chestnutcleat.StoredObject{{Name: "main", Version: 7}}})
		peers := []peer.Peer{{Summary: peer.Summary{Member: peer.Member{VM: "v2"}, PlatformUnreachable: true}, LastHeard: time.Now()}}
		time.Sleep(3 * time.Second)
		is.Equal(kindStatuses(map[chestnutcleat.ObjectKind]*mirror.Mirror{"config": heard, "servers": never}), []KindStatus{
			{Kind: "config", Version: 7, Objects: 1, Age: 3}, {Kind: "servers", Age: -1},
		})
		is.Equal(peerStatuses(peers), []PeerStatus{{VM: "v2", Silent: true, PlatformUnreachable: true, Age: 3}})
	})
}

// FetchStatus must return the VM's status, and an error if the answer is not from a VM.
func TestStatusRequest(t *testing.T) {
	is := is.New(t)
	want := Status{VM: "v1", Role: "entry", Configuration: &ConfigStatus{Number: 4}, ReplicaSet: chestnutcleat.ReplicaSet{Version: 2}}
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == statusPath {
			writeStatus(w, want)
		}
	}))
	defer s.Close()
	got, err := FetchStatus(t.Context(), chestnutcleat.Address(strings.TrimPrefix(s.URL, "http://")))
	is.NoErr(err)
	is.Equal(got, want)
	other := httptest.NewServer(http.NotFoundHandler())
	defer other.Close()
	_, err = FetchStatus(t.Context(), chestnutcleat.Address(strings.TrimPrefix(other.URL, "http://")))
	is.True(err != nil)
}

// What answers at a VM's address may send without end: the status was read on and on.
func TestEndlessStatus(t *testing.T) {
	// kernelBuffers is what the sockets may hold, and giveUp what the server sends at most, in bytes.
	const kernelBuffers, giveUp = 16 << 20, 96 << 20
	is := is.New(t)
	sent := make(chan int, 1)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		n, text := 0, []byte(strings.Repeat(" ", 64<<10))
		for n < giveUp {
			m, err := w.Write(text)
			if n += m; err != nil {
				break
			}
		}
		sent <- n
	}))
	defer s.Close()
	_, err := FetchStatus(t.Context(), chestnutcleat.Address(strings.TrimPrefix(s.URL, "http://")))
	is.True(err != nil)
	is.True(<-sent <= maxStatusBytes+kernelBuffers)
}
