package ledger

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"chestnutcleat.example/chestnutcleat"
)

// originPeers has the answer of each replica to a question for an origin; one without an answer can't be reached.
type originPeers map[chestnutcleat.Address]OriginReply

func (p originPeers) Call(_ context.Context, a chestnutcleat.Address, _ chestnutcleat.Method, request, reply any) error {
	if _, ok := request.(OriginRequest); !ok {
		return errors.New("unexpected request")
	}
	r, ok := p[a]
	if !ok {
		return errors.New("unreachable")
	}
	*reply.(*OriginReply) = r
	return nil
}

func replicaList(names ...string) []chestnutcleat.Replica {
	var list []chestnutcleat.Replica
	for _, n := range names {
		list = append(list, chestnutcleat.Replica{Disk: chestnutcleat.DiskID(n), Address: chestnutcleat.Address(n)})
	}
	return list
}

// The origin of a stream must be what a read quorum knows. The first positive answer may be that of an older try, and what too few
// replicas say may be less than what was written.
func TestFindOrigin(t *testing.T) {
	has := func(list ...Origin) OriginReply { return OriginReply{Origins: list, Complete: true} }
	three, five := replicaList("1", "2", "3"), replicaList("1", "2", "3", "4", "5")
	for name, c := range map[string]struct {
		disks, next []chestnutcleat.Replica
		peers       originPeers
		want        Origin
		err         error
	}{
		"all":                    {three, nil, originPeers{"1": has(origin("v1", 1)), "2": has(origin("v1", 1)), "3": has(origin("v1", 1))}, origin("v1", 1), nil},
		"one down":               {three, nil, originPeers{"1": has(), "3": has(origin("v1", 1))}, origin("v1", 1), nil},
		"older try at one":       {three, nil, originPeers{"1": has(origin("v1", 1)), "2": has(origin("v2", 2))}, origin("v2", 2), nil},
		"lost by one":            {three, nil, originPeers{"1": has(), "2": has(origin("v2", 2))}, origin("v2", 2), nil},
		"unknown":                {three, nil, originPeers{"1": has(), "2": has(), "3": has()}, Origin{}, chestnutcleat.ErrNotFound},
		"contradiction":          {three, nil, originPeers{"1": has(origin("v1", 1)), "2": has(origin("v2", 1))}, Origin{}, ErrContradiction},
		"contradiction at one":   {three, nil, originPeers{"1": has(origin("v1", 1), origin("v2", 1)), "2": has(origin("v2", 1))}, Origin{}, ErrContradiction},
		"quorum lost":            {three, nil, originPeers{"1": has(origin("v1", 1))}, Origin{}, ErrNoQuorum},
		"incomplete replica":     {three, nil, originPeers{"1": has(origin("v1", 1)), "2": {Origins: []Origin{origin("v1", 1)}}}, Origin{}, ErrNoQuorum},
		"incomplete knows later": {three, nil, originPeers{"1": has(), "2": {Origins: []Origin{origin("v2", 2)}}, "3": has()}, Origin{}, nil},
		"five, two down":         {five, nil, originPeers{"1": has(), "2": has(), "3": has(origin("v1", 1))}, origin("v1", 1), nil},
		"joint, next answers":    {three, replicaList("3", "4", "5"), originPeers{"3": has(origin("v1", 1)), "4": has(), "2": has()}, origin("v1", 1), nil},
		"joint, next has none":   {three, replicaList("4", "5", "6"), originPeers{"1": has(origin("v1", 1)), "2": has(), "4": {}, "5": {}}, origin("v1", 1), nil},
		"joint, one of next":     {three, replicaList("4", "5", "6"), originPeers{"1": has(origin("v1", 1)), "2": has(), "3": has(), "4": {}}, Origin{}, ErrNoQuorum},
		"joint, current has not": {three, replicaList("4", "5", "6"), originPeers{"1": has(origin("v1", 1)), "2": {}, "4": has(), "5": has()}, Origin{}, ErrNoQuorum},
		"joint, next is down":    {three, replicaList("4", "5", "6"), originPeers{"1": has(origin("v1", 1)), "2": has(origin("v1", 1)), "3": has()}, Origin{}, ErrNoQuorum},
		"no replica set":         {nil, nil, originPeers{}, Origin{}, ErrNoReplicaSet},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				client := &Client{Peers: c.peers, Observer: noopObserver{}}
				if c.disks != nil {
					client.SetReplicaSet(chestnutcleat.ReplicaSet{Version: FirstVersion, Disks: c.disks, NextDisks: c.next})
				}
				ctx, cancel := context.WithTimeout(t.Context(), time.Second)
				defer cancel()
				got, _, err := client.FindOrigin(ctx, OriginQuery{Customer: "c", Attempt: "a"})
				if name == "incomplete knows later" {
					// Which answers come first decides whether the later try is known; it is never taken for another one.
					is.True(err == nil && got == origin("v2", 2) || errors.Is(err, chestnutcleat.ErrNotFound))
					return
				}
				is.Equal(got, c.want)
				is.True(errors.Is(err, c.err))
			})
		})
	}
}

// A stream that is not on record may go on where all recorded ones of its route began at one version. A read quorum must say so, and
// a version that only one replica knows of counts, too.
func TestFindOriginOfRoute(t *testing.T) {
	one, other := Origin{Service: "s", Software: "v1"}, Origin{Service: "s", Software: "v2"}
	has := func(list ...Origin) OriginReply { return OriginReply{OfRoute: list, Complete: true} }
	named := has(one)
	named.Origins = []Origin{origin("v2", 1)}
	for name, c := range map[string]struct {
		peers   originPeers
		want    Origin
		byRoute bool
		err     error
	}{
		"one version":       {originPeers{"1": has(one), "2": has(one), "3": has()}, one, true, nil},
		"other at one":      {originPeers{"1": has(one), "2": has(one, other)}, Origin{}, false, chestnutcleat.ErrNotFound},
		"other service":     {originPeers{"1": has(one), "2": has(Origin{Service: "t", Software: "v1"})}, Origin{}, false, chestnutcleat.ErrNotFound},
		"quorum lost":       {originPeers{"1": has(one)}, Origin{}, false, ErrNoQuorum},
		"attempt is known":  {originPeers{"1": named, "2": has(one)}, origin("v2", 1), false, nil},
		"nothing is known":  {originPeers{"1": has(), "2": has()}, Origin{}, false, chestnutcleat.ErrNotFound},
		"replica is behind": {originPeers{"1": has(one), "2": {OfRoute: []Origin{one}}}, Origin{}, false, ErrNoQuorum},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				client := &Client{Peers: c.peers, Observer: noopObserver{}}
				client.SetReplicaSet(chestnutcleat.ReplicaSet{Version: FirstVersion, Disks: replicaList("1", "2", "3")})
				ctx, cancel := context.WithTimeout(t.Context(), time.Second)
				defer cancel()
				got, byRoute, err := client.FindOrigin(ctx, OriginQuery{Route: "r"})
				is.Equal(got, c.want)
				is.Equal(byRoute, c.byRoute)
				is.True(errors.Is(err, c.err))
			})
		})
	}
}

// A replica must answer for the attempts of the customer that asks only, and tell whether it has all records.
func TestFindOriginsOfCustomer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s, _ := openStore(t, t.TempDir())
		appendRecords(t, s, beginRecord("a", "v1", 1))
		for customer, want := range map[chestnutcleat.CustomerID]int{"c": 1, "d": 0, "": 0} {
			r, err := s.findOrigins(t.Context(), OriginRequest{Target: s.target(), OriginQuery: OriginQuery{Customer: customer, Attempt: "a"}})
			is.NoErr(err)
			is.True(r.Complete)
			is.Equal(len(r.Origins), want)
		}
		newer := Target{Disk: s.disk, Version: FirstVersion + 1}
		old, err := s.findOrigins(t.Context(), OriginRequest{Target: newer, OriginQuery: OriginQuery{Customer: "c", Attempt: "a"}})
		is.NoErr(err)
		is.True(old.Behind)
		is.Equal(len(old.Origins), 0) // an answer of another set proves nothing
	})
}
