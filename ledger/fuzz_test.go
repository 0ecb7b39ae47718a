package ledger

import (
	"context"
	"testing"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/vm"
)

// call decodes a request of a method and handles it, as the server does.
func call[Req, Resp any](ctx context.Context, data []byte, f func(context.Context, Req) (Resp, error)) {
	if q, err := vm.Decode[Req](data); err == nil {
		// A request that makes no sense is refused with an error.
		_, _ = f(ctx, q)
	}
}

// A request that another VM spoiled must cost that request only: no method of a copy may panic, and the copy must serve on.
func FuzzCalls(f *testing.F) {
	for _, q := range []any{
		AppendRequest{Records: []Record{*reserve("a", 1), *kept("1", "")}},
		FetchRequest{Customer: "c", Turn: "1"},
		AdoptRequest{Copies: chestnutcleat.Copies{Version: 2}},
		DumpRequest{After: 1, Want: []int{0, -1, 9}},
		JoinRequest{Copies: chestnutcleat.Copies{Version: 2, Disks: []chestnutcleat.Copy{{Disk: "x"}}}},
	} {
		data, err := vm.Encode(q)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		s, stop := openStore(t, t.TempDir())
		defer stop()
		s.Peers = vm.NewNetwork(1).From("store")
		ctx := t.Context()
		// Requests name the disk that they are for, which a spoiled one hardly does.
		mine := func(q *Target) { q.Disk, q.Version = s.disk, s.Copies().Version }
		call(ctx, data, func(ctx context.Context, q AppendRequest) (AppendReply, error) {
			mine(&q.Target)
			return s.append(ctx, q)
		})
		call(ctx, data, func(ctx context.Context, q FetchRequest) (FetchReply, error) { mine(&q.Target); return s.fetch(ctx, q) })
		call(ctx, data, func(ctx context.Context, q DumpRequest) (DumpReply, error) { mine(&q.Target); return s.dump(ctx, q) })
		call(ctx, data, func(ctx context.Context, q AdoptRequest) (AdoptReply, error) { q.Disk = s.disk; return s.adopt(ctx, q) })
		call(ctx, data, func(ctx context.Context, q JoinRequest) (chestnutcleat.Ack, error) {
			q.Disk = s.disk
			return s.join(ctx, q)
		})
		q := AppendRequest{Target: s.target(), Records: []Record{*reserve("z", 1)}}
		q.Version = s.Copies().Version
		if _, err := s.append(ctx, q); err != nil {
			t.Fatalf("the copy does not serve on: %v", err)
		}
	})
}
