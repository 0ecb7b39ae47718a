package ledger

import (
	"context"
	"testing"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/vm"
)

// call decodes a request and handles it, as the server does.
func call[Req, Resp any](ctx context.Context, data []byte, f func(context.Context, Req) (Resp, error)) {
	if q, err := vm.Decode[Req](data); err == nil {
		// Invalid requests are rejected with an error.
		_, _ = f(ctx, q)
	}
}

// A corrupt request from another VM must not make a replica panic or stop serving.
func FuzzCalls(f *testing.F) {
	for _, q := range []any{
		AppendRequest{Records: []Record{*reserveRecord("a", 1), *turnRecord("1", "")}},
		AppendRequest{Records: []Record{*beginRecord("a", "v1", 1), *beginRecord("a", "v2", 1), *beginRecord("a", "", -1)}},
		OriginRequest{OriginQuery: OriginQuery{Customer: "c", Attempt: "a", Route: "r"}},
		FetchRequest{Customer: "c", Turn: "1"},
		AdoptRequest{ReplicaSet: chestnutcleat.ReplicaSet{Version: 2}},
		DumpRequest{Offset: 1, Indexes: []int{0, -1, 9}},
		JoinRequest{ReplicaSet: chestnutcleat.ReplicaSet{Version: 2, Disks: []chestnutcleat.Replica{{Disk: "x"}}}},
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
		// Set the disk and version, which a corrupt request hardly ever has right.
		setTarget := func(q *Target) { q.Disk, q.Version = s.disk, s.ReplicaSet().Version }
		call(ctx, data, func(ctx context.Context, q AppendRequest) (AppendReply, error) {
			setTarget(&q.Target)
			return s.append(ctx, q)
		})
		call(ctx, data, func(ctx context.Context, q FetchRequest) (FetchReply, error) {
			setTarget(&q.Target)
			return s.fetch(ctx, q)
		})
		call(ctx, data, func(ctx context.Context, q OriginRequest) (OriginReply, error) {
			setTarget(&q.Target)
			return s.findOrigins(ctx, q)
		})
		call(ctx, data, func(ctx context.Context, q DumpRequest) (DumpReply, error) {
			setTarget(&q.Target)
			return s.dump(ctx, q)
		})
		call(ctx, data, func(ctx context.Context, q AdoptRequest) (AdoptReply, error) { q.Disk = s.disk; return s.adopt(ctx, q) })
		call(ctx, data, func(ctx context.Context, q JoinRequest) (chestnutcleat.Ack, error) {
			q.Disk = s.disk
			return s.join(ctx, q)
		})
		q := AppendRequest{Target: s.target(), Records: []Record{*reserveRecord("z", 1)}}
		q.Version = s.ReplicaSet().Version
		if _, err := s.append(ctx, q); err != nil {
			t.Fatalf("append after corrupt requests: %v", err)
		}
	})
}
