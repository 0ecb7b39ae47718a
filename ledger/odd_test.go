package ledger

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/vm"
)

// A caller's header of invalid UTF-8 must not keep the records of other callers from being written. Replicas could not decode the
// append with it, so the entry VM repeated it, took all replicas for unreachable and failed all turns until its deadline.
func TestInvalidTextInRecord(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s, stop := openStore(t, t.TempDir())
		defer stop()
		n := vm.NewNetwork(1)
		mux := vm.NewMux()
		s.Register(mux)
		n.Attach("store", mux)
		c := &Client{Peers: n.From("entry"), Observer: noopObserver{}}
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go c.Run(ctx)
		synctest.Wait()
		c.SetReplicaSet(chestnutcleat.ReplicaSet{Version: FirstVersion, Disks: []chestnutcleat.Replica{{Disk: s.disk, VM: "store", Address: "store"}}})
		persist := func(r *Record) error {
			ctx, cancel := context.WithTimeout(ctx, time.Second)
			defer cancel()
			_, err := c.Persist(ctx, *r)
			return err
		}
		odd := reserveRecord("a\xff", 1)
		odd.Program = "p\xc0\x80"
		is.NoErr(persist(odd))
		is.NoErr(persist(reserveRecord("b", 1)))
		is.True(c.Writable())
		is.NoErr(persist(turnRecord("t\xff", "")))
		chain, err := c.Fetch(ctx, "c", "t\xff")
		is.NoErr(err)
		is.Equal(chain[0].ID, chestnutcleat.RequestID("t\xff"))
	})
}
