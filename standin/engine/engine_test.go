package engine

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"chestnutcleat.example/chestnutcleat"
)

// Waiting requests are admitted by priority, and one that gives up while it waits neither takes nor frees a slot.
// Otherwise all measurements with the stand-in are wrong.
func TestBatchOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := &batch{slots: 1}
		is.NoErr(b.acquire(t.Context(), 0))
		var order []int
		for _, p := range []int{3, 1, 2, 1} {
			go func() {
				if b.acquire(t.Context(), p) == nil {
					order = append(order, p)
					b.release()
				}
			}()
			synctest.Wait()
		}
		ctx, cancel := context.WithCancel(t.Context())
		go func() { is.True(b.acquire(ctx, 0) != nil) }()
		synctest.Wait()
		cancel()
		synctest.Wait()
		b.release()
		synctest.Wait()
		is.Equal(order, []int{1, 1, 2, 3})
		running, waiting := b.counts()
		is.Equal(running+waiting, 0)
	})
}

// As with a real engine, a crash closes all connections and clears the cache.
func TestCrash(t *testing.T) {
	is := is.New(t)
	e := &Engine{Decode: 10}
	s := httptest.NewServer(e)
	defer s.Close()
	post := func(text string) (*http.Response, error) {
		return http.Post(s.URL+"/v1/chat/completions", "application/json", strings.NewReader(`{"model":"m","stream":true,"messages":[{"role":"user","content":"`+text+`"}]}`))
	}
	resp, err := post("#tokens=10000")
	is.NoErr(err)
	defer resp.Body.Close()
	e.SetFaults(Faults{CrashText: "poison", Restart: chestnutcleat.Duration(time.Hour)})
	_, err = post("poison")
	is.True(err != nil)
	_, err = io.ReadAll(resp.Body)
	is.True(err != nil)
	e.mu.Lock()
	is.Equal(e.cache.used, chestnutcleat.Tokens(0))
	e.mu.Unlock()
	_, err = post("after")
	is.True(err != nil)
}

// Cache events come late and some are lost, so that a scheduler that relies on them fails in tests.
func TestEventsAreLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		e := &Engine{ReportDelay: time.Second, Seed: 1}
		e.once.Do(e.setup)
		for i := range 100 {
			e.cache.insert([]chestnutcleat.Digest{{byte(i)}}, []chestnutcleat.Tokens{1})
		}
		is.Equal(len(e.cache.eventsAfter(0)), 0)
		time.Sleep(time.Second)
		n := len(e.cache.eventsAfter(0))
		is.True(n > 50 && n < 100)
	})
}
