package object_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/object"
	standin "chestnutcleat.example/chestnutcleat/standin/platform"
)

// The client must map status codes to the errors that conditional writes rely on.
func TestClientOverHTTP(t *testing.T) {
	is := is.New(t)
	s := standin.NewStore(1)
	server := httptest.NewServer(s.Handler())
	defer server.Close()
	c := &object.Client{URL: server.URL, Name: "a"}
	ctx := t.Context()

	v, err := c.Put(ctx, chestnutcleat.Object{Name: "manifest/root one", Data: []byte("x")})
	is.NoErr(err)
	_, err = c.Put(ctx, chestnutcleat.Object{Name: "manifest/root one", Data: []byte("y")})
	is.True(errors.Is(err, chestnutcleat.ErrConflict))
	o, err := c.Get(ctx, "manifest/root one")
	is.NoErr(err)
	is.Equal(o.Version, v)
	is.Equal(string(o.Data), "x")
	_, err = c.Get(ctx, "absent")
	is.True(errors.Is(err, chestnutcleat.ErrNotFound))
	_, err = c.Put(ctx, chestnutcleat.Object{Name: "big", Data: make([]byte, chestnutcleat.MaxObjectBytes+1)})
	is.True(errors.Is(err, chestnutcleat.ErrTooLarge))
	list, err := c.Watch(ctx, []chestnutcleat.ObjectName{"other/", "manifest/"}, 0)
	is.NoErr(err)
	is.Equal(len(list), 1)
	is.NoErr(c.Delete(ctx, "manifest/root one", v))
	list, err = c.Watch(ctx, []chestnutcleat.ObjectName{"manifest/"}, v)
	is.NoErr(err)
	is.True(list[0].Deleted)
	is.NoErr(c.SetVM(ctx, chestnutcleat.ListedVM{ID: "a", Address: "127.0.0.1:1"}))
	vms, err := c.VMs(ctx)
	is.NoErr(err)
	is.Equal(len(vms), 1)

	req, err := http.NewRequest(http.MethodPut, server.URL+"/faults", strings.NewReader(`{"lost": 1}`))
	is.NoErr(err)
	resp, err := http.DefaultClient.Do(req)
	is.NoErr(err)
	resp.Body.Close()
	is.Equal(resp.StatusCode, http.StatusNoContent)
	_, err = c.Put(ctx, chestnutcleat.Object{Name: "lost", Data: []byte("x")})
	is.True(err != nil && !errors.Is(err, chestnutcleat.ErrConflict))
	s.SetFaults(standin.Faults{})
	_, err = c.Get(ctx, "lost")
	is.NoErr(err)
	resp, err = http.Get(server.URL + "/counts")
	is.NoErr(err)
	defer resp.Body.Close()
	var counts map[string]standin.Count
	is.NoErr(json.NewDecoder(resp.Body).Decode(&counts))
	is.Equal(int64(counts["a"].Calls), c.Calls())
}

// handlerTransport passes requests to a handler without a socket, so that tests run in virtual time.
type handlerTransport struct{ http.Handler }

func (h handlerTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	w := httptest.NewRecorder()
	h.ServeHTTP(w, r)
	return w.Result(), nil
}

// A rate-limited call must wait as long as Retry-After says: retrying at once keeps a rate-limited platform overloaded.
func TestRateLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := standin.NewStore(1)
		s.SetFaults(standin.Faults{RateLimit: 2, Latency: chestnutcleat.Duration(5 * time.Second)})
		c := &object.Client{URL: "http://platform", Name: "a", HTTP: &http.Client{Transport: handlerTransport{s.Handler()}}}
		start := time.Now()
		var g errgroup.Group
		for i := range 4 {
			g.Go(func() error {
				_, err := c.Put(t.Context(), chestnutcleat.Object{Name: chestnutcleat.ObjectName(fmt.Sprint(i))})
				return err
			})
		}
		is.NoErr(g.Wait())
		is.Equal(time.Since(start), 6*time.Second)
		n := s.Counts()["a"]
		is.Equal(n.Calls, 6)
		is.Equal(n.Refused, 2)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err := c.Get(ctx, "0")
		is.True(err != nil)
	})
}

// The stand-in's list of VMs must be stale like the platform's, so that no code relies on a fresh list.
func TestVMListLags(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := standin.NewStore(1)
		s.SetFaults(standin.Faults{VMListDelay: chestnutcleat.Duration(10 * time.Second)})
		c := &standin.Client{Store: s, Name: "a"}
		s.SetVM(chestnutcleat.ListedVM{ID: "a"})
		time.Sleep(11 * time.Second)
		s.SetVM(chestnutcleat.ListedVM{ID: "a", Leaving: true})
		for _, leaving := range []bool{false, true} {
			list, err := c.VMs(t.Context())
			is.NoErr(err)
			is.Equal(list, []chestnutcleat.ListedVM{{ID: "a", Leaving: leaving}})
			time.Sleep(11 * time.Second)
		}
	})
}

// A watcher must deliver all changes made during an outage, and must cost only one long poll at a time while nothing changes.
func TestWatcherResumes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := standin.NewStore(1)
		c := &standin.Client{Store: s, Name: "a"}
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		var seen []string
		w := &object.Watcher{
			Platform: c,
			Prefixes: []chestnutcleat.ObjectName{"a/", "b/"},
			OnChange: func(o chestnutcleat.Object) { seen = append(seen, string(o.Data)) },
			Rand:     rand.New(rand.NewPCG(1, 1)),
		}
		go w.Run(ctx)
		put := func(name chestnutcleat.ObjectName, data string) {
			_, err := (&standin.Client{Store: s, Name: "b"}).Put(ctx, chestnutcleat.Object{Name: name, Data: []byte(data)})
			is.NoErr(err)
		}
		put("a/1", "1")
		time.Sleep(10 * time.Minute)
		is.True(s.Counts()["a"].Calls <= 22)
		put("c/1", "no")
		put("b/1", "2")
		s.SetFaults(standin.Faults{Outage: true})
		time.Sleep(10 * time.Minute)
		is.True(s.Counts()["a"].Calls <= 22+140)
		s.SetFaults(standin.Faults{})
		put("a/2", "3")
		time.Sleep(11 * time.Second)
		synctest.Wait()
		is.Equal(seen, []string{"1", "2", "3"})
		// Changes that don't fit into one response arrive in several.
		seen = nil
		for i := range 20 {
			put(chestnutcleat.ObjectName(fmt.Sprintf("a/large-%d", i)), strings.Repeat("x", chestnutcleat.MaxObjectBytes))
		}
		time.Sleep(time.Second)
		synctest.Wait()
		is.Equal(len(seen), 20)
	})
}
