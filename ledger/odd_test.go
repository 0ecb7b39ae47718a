package ledger

import (
	"bytes"
	"context"
	"encoding/binary"
	"hash/crc32"
	"os"
	"path/filepath"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/event"
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

// eventCounter counts events by id.
type eventCounter map[chestnutcleat.EventID]int

func (c eventCounter) Emit(id chestnutcleat.EventID, _ ...any) { c[id]++ }

// A stored record that can't be decoded although its checksum is right must cost only itself. It ended the storage VM at each start, and
// kept the segment from being compacted.
func TestUndecodableStoredRecord(t *testing.T) {
	for name, payload := range map[string][]byte{
		"no CBOR":          []byte("\xff\xff"),
		"another type":     {0x63, 'a', 'b', 'c'},
		"number too large": {0xa1, 0x61, 'k', 0x19, 0xff, 0xff},
		"nested too deep":  append([]byte{0xa1, 0x61, 'x'}, append(bytes.Repeat([]byte{0x81}, 1000), 0)...),
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			folder := t.TempDir()
			l, _, err := readAll(t, folder)
			is.NoErr(err)
			mustAppend(t, l, turnRecord("1", ""))
			entry := binary.BigEndian.AppendUint32(nil, uint32(len(payload)))
			entry = binary.BigEndian.AppendUint32(entry, crc32.Checksum(payload, crcTable))
			s := l.active()
			n, err := s.file.WriteAt(append(entry, payload...), s.size)
			is.NoErr(err)
			s.size += int64(n)
			mustAppend(t, l, turnRecord("2", "1"))
			is.NoErr(l.startSegment())
			mustAppend(t, l, turnRecord("3", "2"))
			is.NoErr(l.close())
			is.NoErr(os.WriteFile(filepath.Join(folder, diskIDFile), []byte("disk"), 0o600))

			store, err := Open(folder)
			is.NoErr(err)
			events := eventCounter{}
			store.Observer = events
			chain := store.state.chainLocations("c", "3")
			is.Equal(len(chain), 3)
			for i, id := range []chestnutcleat.RequestID{"3", "2", "1"} {
				r, err := store.log.read(chain[i])
				is.NoErr(err)
				is.Equal(r.Attempt, id)
			}
			is.NoErr(store.rewriteLive(store.log.oldest()))
			ctx, cancel := context.WithCancel(t.Context())
			cancel()
			is.NoErr(store.Run(ctx))
			is.Equal(events[event.RecordsUnreadable], 1)
		})
	}
}
