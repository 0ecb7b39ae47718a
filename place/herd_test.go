package place

import (
	"math/rand/v2"
	"slices"
	"testing"

	"chestnutcleat.example/chestnutcleat"
)

// herdScenario simulates VMs that balance by stale load: requests without a key arrive at random VMs, and each VM learns the load of
// the others once in reportIntervalMs.
type herdScenario struct {
	vms, instances, slots int
	// arrivalsPerMs is the arrival rate, and meanWorkMs the mean service time of a request.
	arrivalsPerMs, meanWorkMs float64
	reportIntervalMs          int
}

// job is a request that waits or runs at an instance.
type job struct {
	assignment  *Assignment
	arrived     int
	remainingMs int
}

// simulate returns the share of requests that waited for a slot, the mean wait in milliseconds, and the arrivals at the busiest
// instance relative to the mean.
func (h herdScenario) simulate(seed uint64, ms int) (waited, wait, busiest float64) {
	random := rand.New(rand.NewPCG(seed, 1))
	list := instances(h.instances)
	for i := range list {
		list[i].Slots = h.slots
	}
	var tables []*Table
	for range h.vms {
		t := NewTable()
		t.SetInstances(list)
		tables = append(tables, t)
	}
	running := map[chestnutcleat.InstanceID][]*job{}
	queued := map[chestnutcleat.InstanceID][]*job{}
	arrivals := map[chestnutcleat.InstanceID]int{}
	total, delayed, waitSum := 0, 0, 0
	for now := range ms {
		h.exchangeLoad(tables, now)
		for n := random.Float64(); n < h.arrivalsPerMs; n++ {
			a := tables[random.IntN(h.vms)].Pick(Request{Service: "s"})
			total++
			arrivals[a.ID]++
			queued[a.ID] = append(queued[a.ID], &job{assignment: a, arrived: now, remainingMs: 1 + int(random.ExpFloat64()*h.meanWorkMs)})
		}
		for _, i := range list {
			running[i.ID] = slices.DeleteFunc(running[i.ID], func(j *job) bool {
				j.remainingMs--
				if j.remainingMs <= 0 {
					j.assignment.End(Success)
				}
				return j.remainingMs <= 0
			})
			for len(queued[i.ID]) > 0 && len(running[i.ID]) < h.slots {
				j := queued[i.ID][0]
				queued[i.ID] = queued[i.ID][1:]
				running[i.ID] = append(running[i.ID], j)
				if now > j.arrived {
					delayed++
					waitSum += now - j.arrived
				}
			}
		}
	}
	most := 0
	for _, n := range arrivals {
		most = max(most, n)
	}
	return float64(delayed) / float64(total), float64(waitSum) / float64(total), float64(most*h.instances) / float64(total)
}

// exchangeLoad tells VMs the load of all others; an equal part of the VMs gets it in each millisecond.
func (h herdScenario) exchangeLoad(tables []*Table, now int) {
	var all map[chestnutcleat.InstanceID]int
	for i, t := range tables {
		if i%h.reportIntervalMs != now%h.reportIntervalMs {
			continue
		}
		if all == nil {
			all = map[chestnutcleat.InstanceID]int{}
			for _, o := range tables {
				for id, n := range o.OwnLoad() {
					all[id] += n
				}
			}
		}
		own := t.OwnLoad()
		t.SetRemoteLoad(func(id chestnutcleat.InstanceID) int { return all[id] - own[id] })
	}
}

// Picking the least loaded instance by stale counts sends all VMs to the same one, so requests waited while other instances were idle.
// With six slots and these loads 0.09 and 0.02 of the requests wait by Erlang's formula; stale counts may triple that.
func TestStaleLoadCausesNoHerding(t *testing.T) {
	for name, tt := range map[string]struct {
		herdScenario
		// ms is so long that the choices of the tables, which have no seed, hardly change the result.
		ms              int
		waited, busiest float64
	}{
		"small fleet": {herdScenario{vms: 7, instances: 3, slots: 6, arrivalsPerMs: 0.35, meanWorkMs: 25, reportIntervalMs: 200}, 80_000, 0.3, 1.15},
		"large fleet": {herdScenario{vms: 250, instances: 19, slots: 6, arrivalsPerMs: 1.6, meanWorkMs: 25, reportIntervalMs: 1700}, 8000, 0.06, 1.25},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(3) {
				waited, wait, busiest := tt.simulate(seed, tt.ms)
				t.Logf("seed %d: %.3f of the requests waited, %.2f ms in the mean, busiest instance %.2f of the mean", seed, waited, wait, busiest)
				if waited > tt.waited || busiest > tt.busiest {
					t.Errorf("seed %d: bounds are %.2f waiting and %.2f of the mean", seed, tt.waited, tt.busiest)
				}
			}
		})
	}
}
