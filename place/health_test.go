package place

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"chestnutcleat.example/chestnutcleat"
)

// groupReport returns the counts of a group of VMs: the answers of all instances of "s", and the failures by number of instance.
func groupReport(answered int, failed map[int]int) OutcomeCounts {
	counts := OutcomeCounts{Answered: map[chestnutcleat.ServiceName]int{"s": answered}, Failed: map[chestnutcleat.InstanceID]int{}}
	for i, n := range failed {
		counts.Failed[chestnutcleat.InstanceID(fmt.Sprint("i", i))] = n
	}
	return counts
}

// Instances with a high failure rate must be ejected, and no others: not those with occasional errors, not most of a service at once,
// and not so many that the rest can't carry the load.
func TestOutlierEjection(t *testing.T) {
	failingInstances := func(n int) map[int]int {
		out := map[int]int{}
		for i := range n {
			out[i] = 30
		}
		return out
	}
	for _, tt := range []struct {
		name               string
		allVMs, sameDomain OutcomeCounts
		want               int
	}{
		{"healthy", groupReport(600, nil), groupReport(200, nil), 0},
		{"occasional errors", groupReport(600, map[int]int{0: 3, 1: 2, 2: 4, 3: 3}), OutcomeCounts{}, 0},
		{"two in a hundred answers lost", groupReport(600, map[int]int{0: 2, 5: 1, 9: 2}), OutcomeCounts{}, 0},
		{"one fails half", groupReport(600, map[int]int{4: 15}), OutcomeCounts{}, 1},
		{"fails for one failure domain", groupReport(600, map[int]int{4: 5}), groupReport(120, map[int]int{4: 5}), 1},
		{"too few failures", groupReport(40, map[int]int{4: 2}), OutcomeCounts{}, 0},
		{"a quarter at most", groupReport(600, failingInstances(8)), OutcomeCounts{}, 5},
		{"most fail", groupReport(600, failingInstances(14)), OutcomeCounts{}, 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				table := newTable(20)
				time.Sleep(time.Minute)
				list := table.EjectOutliers(tt.allVMs, tt.sameDomain)
				is.Equal(len(list), tt.want)
				is.Equal(len(table.EjectOutliers(tt.allVMs, tt.sameDomain)), 0) // the same reports again
				for _, e := range list {
					for i := range 200 {
						a := table.Pick(Request{Service: "s", Key: fmt.Sprint(i)})
						is.True(a.ID != e.Instance)
						a.End(Neutral)
					}
				}
			})
		})
	}
}

// An instance that fails again after an ejection must be ejected for longer, and one that has recovered must get work again.
func TestEjectionTimeDoubles(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		table := newTable(20)
		time.Sleep(time.Minute)
		bad := groupReport(600, map[int]int{4: 15})
		for _, duration := range []time.Duration{minEjectionTime, 2 * minEjectionTime, maxEjectionTime, maxEjectionTime} {
			list := table.EjectOutliers(bad)
			is.Equal(len(list), 1)
			is.Equal(list[0].Duration, duration)
			time.Sleep(duration + time.Millisecond)
		}
		time.Sleep(maxEjectionTime)
		is.Equal(table.EjectOutliers(bad)[0].Duration, minEjectionTime)
		time.Sleep(minEjectionTime + probationTime)
		back := false
		for i := range 200 {
			a := table.Pick(Request{Service: "s", Key: fmt.Sprint(i)})
			back = back || a.ID == "i4"
			a.End(Success)
		}
		is.True(back)
	})
}

// A VM's own outcome counts must be reported within the window and expire after it.
func TestOutcomeCountsExpire(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		table := newTable(1)
		table.Pick(Request{Service: "s"}).End(InstanceError)
		table.Pick(Request{Service: "s"}).End(Success)
		table.Pick(Request{Service: "s"}).End(Neutral)
		is.Equal(table.Outcomes(), groupReport(2, map[int]int{0: 1}))
		time.Sleep(outcomeWindow)
		is.Equal(len(table.Outcomes().Failed), 0)
		is.Equal(table.Outcomes().Answered["s"], 0)
	})
}

// simulateGrayFailure simulates instances that fail part of their requests and look healthy otherwise. Programs of several turns
// stay with their instance and end when a turn fails three times. It returns the share of programs that complete.
func simulateGrayFailure(ejectOutliers bool) float64 {
	const vms, engines, failingFraction, programs, turns, tries = 40, 60, 0.15, 12, 6, 3
	const stepsPerReport = 10 // steps between reports of the VMs to each other
	random := rand.New(rand.NewPCG(1, 2))
	var tables []*Table
	for range vms {
		tables = append(tables, newTable(engines))
	}
	bad := map[chestnutcleat.InstanceID]bool{}
	for i := range int(failingFraction * engines) {
		bad[chestnutcleat.InstanceID(fmt.Sprint("i", i))] = true
	}
	completed, total := 0, 0
	for step := range 200 {
		time.Sleep(100 * time.Millisecond)
		if ejectOutliers && step%stepsPerReport == 0 {
			sums := make([]OutcomeCounts, vms)
			for i := range tables {
				sums[i] = tables[i].Outcomes()
			}
			for i, t := range tables {
				var others OutcomeCounts
				for j := range sums {
					if j != i {
						others.Add(sums[j])
					}
				}
				t.EjectOutliers(others)
			}
		}
		for p := range programs {
			total++
			if runProgram(random, tables, bad, fmt.Sprint("program ", step, p), turns, tries) {
				completed++
			}
		}
	}
	return float64(completed) / float64(total)
}

func runProgram(random *rand.Rand, tables []*Table, bad map[chestnutcleat.InstanceID]bool, key string, turns, tries int) bool {
	for range turns {
		served := false
		for try := 0; try < tries && !served; try++ {
			a := tables[random.IntN(len(tables))].Pick(Request{Service: "s", Key: key})
			served = !bad[a.ID] || random.Float64() < 0.4
			if served {
				a.End(Success)
			} else {
				a.End(InstanceError)
			}
		}
		if !served {
			return false
		}
	}
	return true
}

// Without ejection, programs are lost when they stay with an instance that fails part of its requests; no VM alone sees enough
// failures to detect it.
func TestGrayFailures(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		without, with := simulateGrayFailure(false), simulateGrayFailure(true)
		t.Logf("programs that complete: %.3f without ejection, %.3f with", without, with)
		if 1-with > (1-without)/3 {
			t.Errorf("%.3f of the programs are lost, %.3f without ejection", 1-with, 1-without)
		}
	})
}
