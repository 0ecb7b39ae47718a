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

// report is what a group of VMs saw: how much all instances of "s" answered, and which failed how often.
func report(answered int, failed map[int]int) Tally {
	t := Tally{Answered: map[chestnutcleat.ServiceName]int{"s": answered}, Failed: map[chestnutcleat.InstanceID]int{}}
	for i, n := range failed {
		t.Failed[chestnutcleat.InstanceID(fmt.Sprint("i", i))] = n
	}
	return t
}

// Instances that fail much of their work must get none for a while, and no others: neither those that err now and then, nor
// all of a service at once, nor so many that the rest can't carry the load.
func TestJudge(t *testing.T) {
	few := func(n int) map[int]int {
		out := map[int]int{}
		for i := range n {
			out[i] = 30
		}
		return out
	}
	for _, tt := range []struct {
		name      string
		all, near Tally
		want      int
	}{
		{"sound", report(600, nil), report(200, nil), 0},
		{"errors of tools", report(600, map[int]int{0: 3, 1: 2, 2: 4, 3: 3}), Tally{}, 0},
		{"answers lost of two in a hundred", report(600, map[int]int{0: 2, 5: 1, 9: 2}), Tally{}, 0},
		{"one fails half", report(600, map[int]int{4: 15}), Tally{}, 1},
		{"fails for one failure domain", report(600, map[int]int{4: 5}), report(120, map[int]int{4: 5}), 1},
		{"too little seen", report(40, map[int]int{4: 2}), Tally{}, 0},
		{"a quarter at most", report(600, few(8)), Tally{}, 5},
		{"most fail", report(600, few(14)), Tally{}, 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				table := newTable(20)
				time.Sleep(time.Minute)
				list := table.Judge(tt.all, tt.near)
				is.Equal(len(list), tt.want)
				is.Equal(len(table.Judge(tt.all, tt.near)), 0) // the same reports again
				for _, e := range list {
					for i := range 200 {
						u := table.Pick(Want{Service: "s", Key: fmt.Sprint(i)})
						is.True(u.ID != e.Instance)
						u.End(Unclear)
					}
				}
			})
		})
	}
}

// An instance that fails again after its return must rest longer, and one that is sound again get its work.
func TestEjectionGrows(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		table := newTable(20)
		time.Sleep(time.Minute)
		bad := report(600, map[int]int{4: 15})
		for _, rest := range []time.Duration{firstEjection, 2 * firstEjection, longestEjection, longestEjection} {
			list := table.Judge(bad)
			is.Equal(len(list), 1)
			is.Equal(list[0].Rest, rest)
			time.Sleep(rest + time.Millisecond)
		}
		time.Sleep(longestEjection)
		is.Equal(table.Judge(bad)[0].Rest, firstEjection)
		time.Sleep(firstEjection + trialTime)
		back := false
		for i := range 200 {
			u := table.Pick(Want{Service: "s", Key: fmt.Sprint(i)})
			back = back || u.ID == "i4"
			u.End(Sound)
		}
		is.True(back)
	})
}

// Own counts must be forgotten after their time, and be told to others while they hold.
func TestTallyIsForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		table := newTable(1)
		table.Pick(Want{Service: "s"}).End(Erred)
		table.Pick(Want{Service: "s"}).End(Sound)
		table.Pick(Want{Service: "s"}).End(Unclear)
		is.Equal(table.Tally(), report(2, map[int]int{0: 1}))
		time.Sleep(tallyTime)
		is.Equal(len(table.Tally().Failed), 0)
		is.Equal(table.Tally().Answered["s"], 0)
	})
}

// grey plays the pattern "some instances fail part of their requests while all else about them looks sound": programs of
// several turns that stay with their instance, and end when a turn fails three times. It returns the share of programs that end well.
func grey(judge bool) float64 {
	const vms, engines, share, programs, turns, tries = 40, 60, 0.15, 12, 6, 3
	const told = 10 // steps between what the VMs tell each other
	random := rand.New(rand.NewPCG(1, 2))
	var tables []*Table
	for range vms {
		tables = append(tables, newTable(engines))
	}
	bad := map[chestnutcleat.InstanceID]bool{}
	for i := range int(share * engines) {
		bad[chestnutcleat.InstanceID(fmt.Sprint("i", i))] = true
	}
	well, all := 0, 0
	for step := range 200 {
		time.Sleep(100 * time.Millisecond)
		if judge && step%told == 0 {
			sums := make([]Tally, vms)
			for i := range tables {
				sums[i] = tables[i].Tally()
			}
			for i, t := range tables {
				var others Tally
				for j := range sums {
					if j != i {
						others.Add(sums[j])
					}
				}
				t.Judge(others)
			}
		}
		for p := range programs {
			all++
			if playProgram(random, tables, bad, fmt.Sprint("program ", step, p), turns, tries) {
				well++
			}
		}
	}
	return float64(well) / float64(all)
}

func playProgram(random *rand.Rand, tables []*Table, bad map[chestnutcleat.InstanceID]bool, key string, turns, tries int) bool {
	for range turns {
		served := false
		for try := 0; try < tries && !served; try++ {
			u := tables[random.IntN(len(tables))].Pick(Want{Service: "s", Key: key})
			served = !bad[u.ID] || random.Float64() < 0.4
			if served {
				u.End(Sound)
			} else {
				u.End(Erred)
			}
		}
		if !served {
			return false
		}
	}
	return true
}

// Programs that stay with a grey instance were lost with it; no VM sees enough of them alone.
func TestGreyInstances(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		alone, judged := grey(false), grey(true)
		t.Logf("programs that end well: %.3f without judging, %.3f with", alone, judged)
		if 1-judged > (1-alone)/3 {
			t.Errorf("%.3f of the programs are lost, %.3f without judging", 1-judged, 1-alone)
		}
	})
}
