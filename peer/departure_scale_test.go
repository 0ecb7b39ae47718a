package peer

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/place"
	"chestnutcleat.example/chestnutcleat/vm"
)

// leaveAll lets all instances of a table say that they leave.
func leaveAll(t *place.Table) {
	for a := t.Pick(place.Request{Service: "s"}); a != nil; a = t.Pick(place.Request{Service: "s"}) {
		a.MarkLeaving(time.Now())
	}
}

func tableOf(instances int) *place.Table {
	t := place.NewTable()
	t.SetInstances(testInstances(instances))
	return t
}

// More instances than a report holds may leave at once and tell one VM only: all VMs must know all of them soon, also one that starts
// afterwards. Those beyond the bound were never reported.
func TestManyDeparturesOfOneVM(t *testing.T) {
	const instances, maxDelay, maxDelayAfterStart = 3 * place.MaxReportedLeaving, 10 * time.Second, 20 * time.Second
	for _, count := range []int{7, 40} {
		t.Run(fmt.Sprint(count, " VMs"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				_, nodes := connectedFleet(t, count)
				known := map[*node]*place.Table{}
				for _, n := range nodes {
					known[n] = tableOf(instances)
				}
				const teller = 3
				leaveAll(known[nodes[teller]])
				nodes[teller].mu.Lock()
				nodes[teller].placement = known[nodes[teller]]
				nodes[teller].mu.Unlock()
				knowsAll := func(n *node) bool {
					if n == nodes[0] {
						for _, n := range nodes {
							totals := n.Totals()
							known[n].ApplyDepartures(totals.Departures)
						}
					}
					return !known[n].CanPick(place.Request{Service: "s"})
				}
				took := timeUntil(nodes, teller, knowsAll)
				t.Logf("%d instances are known after %v", instances, took)
				is.True(took <= maxDelay)
				known[nodes[0]] = tableOf(instances) // as after a restart
				took = timeUntil(nodes, teller, knowsAll)
				t.Logf("known to a VM that started after %v", took)
				is.True(took <= maxDelayAfterStart)
				stopAll(nodes)
			})
		})
	}
}

// reported counts what a network's datagrams say of departures.
type reported struct {
	datagrams, bytes, summaries, digests, most int
}

func (r *reported) add(t *testing.T, data []byte) {
	m, err := vm.Decode[message](data)
	if err != nil {
		t.Error(err)
	}
	r.datagrams++
	r.bytes += len(data)
	r.most = max(r.most, len(data))
	r.summaries += len(m.Forwarded)
	if m.Summary != nil {
		r.summaries++
	}
	if m.Digest != nil {
		r.digests++
	}
}

// Departures must cost the VMs no further messages, and bytes only within the bounds of a report: with the largest number at each VM, all
// different, the datagrams of fleets of several sizes stay the same, and grow by no more than these bounds.
func TestDeparturesKeepMessagesLevel(t *testing.T) {
	const (
		settle, span = 3 * time.Second, 4 * time.Second
		// bytesPerDeparture is the size of a hash in CBOR, and bytesPerList that of the list around them.
		bytesPerDeparture, bytesPerList = 5, 8
	)
	for _, count := range levelFleetSizes {
		t.Run(fmt.Sprint(count, " VMs"), func(t *testing.T) {
			measure := func(departures int) (r reported) {
				synctest.Test(t, func(t *testing.T) {
					network, nodes := connectedFleet(t, count)
					for i, n := range nodes {
						s := Summary{Load: map[chestnutcleat.InstanceID]int{"i": 1}}
						for k := range departures {
							s.Departures = append(s.Departures, place.ProcessHash(1<<31+i<<16+k))
						}
						n.setSummary(s)
					}
					time.Sleep(settle)
					network.mu.Lock()
					network.onSend = func(data []byte) { r.add(t, data) }
					network.mu.Unlock()
					time.Sleep(span)
					stopAll(nodes)
				})
				return r
			}
			without, with := measure(0), measure(place.MaxReportedLeaving)
			allowed := with.summaries*(place.MaxReportedLeaving*bytesPerDeparture+bytesPerList) + with.digests*(maxDepartures*bytesPerDeparture+bytesPerList)
			perVM := func(n int) float64 { return float64(n) / span.Seconds() / float64(count) }
			t.Logf("datagrams/s per VM %.1f and %.1f, bytes/s per VM %.0f and %.0f, longest %d and %d bytes",
				perVM(without.datagrams), perVM(with.datagrams), perVM(without.bytes), perVM(with.bytes), without.most, with.most)
			if with.datagrams > without.datagrams {
				t.Errorf("%d datagrams with departures, %d without", with.datagrams, without.datagrams)
			}
			if with.bytes > without.bytes+allowed || with.most > maxDatagramBytes {
				t.Errorf("%d bytes with departures, %d without, %d allowed; longest %d", with.bytes, without.bytes, allowed, with.most)
			}
		})
	}
}
