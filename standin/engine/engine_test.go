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

// A batch that ignores priorities or leaks slots would make every measurement with the stand-in wrong.
func TestBatchOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := &batch{slots: 1}
		is.NoErr(b.enter(t.Context(), 0))
		var order []int
		for _, p := range []int{3, 1, 2, 1} {
			go func() {
				if b.enter(t.Context(), p) == nil {
					order = append(order, p)
					b.leave()
				}
			}()
			synctest.Wait()
		}
		ctx, cancel := context.WithCancel(t.Context())
		go func() { is.True(b.enter(ctx, 0) != nil) }()
		synctest.Wait()
		cancel()
		synctest.Wait()
		b.leave()
		synctest.Wait()
		is.Equal(order, []int{1, 1, 2, 3})
		running, waiting := b.counts()
		is.Equal(running+waiting, 0)
	})
}

// A crash must cut all connections and lose the cache, as that of a real engine does.
func TestCrash(t *testing.T) {
	is := is.New(t)
	e := &Engine{Decode: 10}
	s := httptest.NewServer(e)
	defer s.Close()
	post := func(text string) (*http.Response, error) {
		return http.Post(s.URL+"/v1/chat/completions", "application/json", strings.NewReader(`{"model":"m","stream":true,"messages":[{"role":"user","content":"`+text+`"}]}`))
	}
	p, err := post("#tokens=10000")
	is.NoErr(err)
	defer p.Body.Close()
	e.SetFaults(Faults{Crash: "poison", Restart: chestnutcleat.Duration(time.Hour)})
	_, err = post("poison")
	is.True(err != nil)
	_, err = io.ReadAll(p.Body)
	is.True(err != nil)
	e.mu.Lock()
	is.Equal(e.cache.used, chestnutcleat.Tokens(0))
	e.mu.Unlock()
	_, err = post("after")
	is.True(err != nil)
}

// Cache events must be late and have gaps, or the scheduler would come to rely on them.
func TestEventsAreLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		e := &Engine{Lag: time.Second, Seed: 1}
		e.once.Do(e.setup)
		for i := range 100 {
			e.cache.store([]chestnutcleat.Digest{{byte(i)}}, []chestnutcleat.Tokens{1})
		}
		is.Equal(len(e.cache.after(0)), 0)
		time.Sleep(time.Second)
		n := len(e.cache.after(0))
		is.True(n > 50 && n < 100)
	})
}
