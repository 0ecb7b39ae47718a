package keeper

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/ledger"
)

const (
	chainRetention = 30 * time.Second
	turnInterval   = 5 * time.Second
)

// writeChain writes turns that each continue the one before, one every turnInterval, and calls before with the number of each.
func (c *cluster) writeChain(ctx context.Context, turns int, before func(n int)) error {
	for n := range turns {
		before(n)
		r := ledger.Record{
			Kind: ledger.StoreTurn, Customer: "c", Attempt: turnID(n), Input: []byte(turnID(n)), ExpiresAt: time.Now().Add(chainRetention).Unix(),
		}
		if n > 0 {
			r.Previous = turnID(n - 1)
		}
		if _, err := c.client.Persist(ctx, r); err != nil {
			return fmt.Errorf("turn %d: %w", n, err)
		}
		time.Sleep(turnInterval)
	}
	return nil
}

func turnID(n int) chestnutcleat.RequestID { return chestnutcleat.RequestID(fmt.Sprint("t", n)) }

// A chain in use must outlive the turns that some replicas missed. A replica extended the lifetime of a chain only up to the first
// turn that it lacked, so in programs longer than the retention the older turns expired there: after a rolling restart of the storage
// VMs they were lost with the one disk that had missed nothing, and even before that they were answered as unknown.
func TestChainOutlivesMissedTurns(t *testing.T) {
	for name, tt := range map[string]struct {
		// missed is the number of the turn that a VM misses, by the VM's number.
		missed  map[int]int
		outage  time.Duration
		loseAll bool
	}{
		"one VM restarts":            {missed: map[int]int{0: 2}},
		"all VMs restart in turn":    {missed: map[int]int{0: 2, 1: 4, 2: 6}},
		"two restart, third is lost": {missed: map[int]int{0: 2, 1: 4}, loseAll: true},
		"two are down for longer than the retention, third is lost": {
			missed: map[int]int{0: 2, 1: 12}, outage: chainRetention + turnInterval, loseAll: true,
		},
	} {
		t.Run(name, func(t *testing.T) {
			runCluster(t, 3, 3, 1, func(ctx context.Context, t *testing.T, c *cluster) {
				is := is.New(t)
				const turns = 30
				back := map[int]time.Time{}
				is.NoErr(c.writeChain(ctx, turns, func(n int) {
					for i, s := range c.vms {
						if tt.missed[i] == n && n > 0 {
							c.stopVM(s)
							back[i] = time.Now().Add(max(tt.outage, turnInterval))
						} else if !s.running && !time.Now().Before(back[i]) {
							c.startVM(s)
						}
					}
				}))
				if tt.loseAll {
					c.stopVM(c.vms[2])
					c.wipeDisk(c.vms[2])
				}
				for _, n := range []int{0, turns / 2, turns - 1} {
					chain, err := c.fetch(string(turnID(n)))
					t.Log("turn", n, "chain of", len(chain), err)
					is.NoErr(err)
					is.Equal(len(chain), n+1)
				}
			})
		})
	}
}
