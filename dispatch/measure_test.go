package dispatch_test

import (
	"flag"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"chestnutcleat.example/chestnutcleat/dispatch"
)

var (
	measure = flag.String("measure", "", "print the measurements: loads, greedy, fair, lasting or trials")
	seeds   = flag.Int("seeds", 5, "number of seeds of -measure")
	horizon = flag.Duration("horizon", 30*time.Minute, "virtual time of arrivals of -measure")
)

var policies = []variant{
	{name: "sticky, oldest first, fair", fair: true},
	{name: "round robin + FIFO", policy: dispatch.PolicyRoundRobin},
	{name: "least outstanding + FIFO", policy: dispatch.PolicyLeastOutstanding},
}

var trials = []variant{
	policies[0],
	{name: "without levels"},
	{name: "levels, equal weights", fair: true, equal: true},
	{name: "hedging d=2", fair: true, hedge: true},
	{name: "least attained service", fair: true, leastAttained: true},
	{name: "always sticky", fair: true, neverMove: true},
	{name: "free choice per call", fair: true, freeChoice: true},
}

func quantile(v []float64, q float64) float64 {
	if len(v) == 0 {
		return 0
	}
	slices.Sort(v)
	return v[min(len(v)-1, int(q*float64(len(v))))]
}

// figures returns the results of one run in the order of the table's columns.
func (s *simulation) figures() []float64 {
	var all []float64
	latencies := make([][]float64, simCustomers)
	slowdowns := make([][]float64, simCustomers)
	metGoal := make([]float64, simCustomers)
	for _, r := range s.results {
		latencies[r.customer] = append(latencies[r.customer], r.latency)
		slowdowns[r.customer] = append(slowdowns[r.customer], r.slowdown)
		if r.slowdown <= 2 {
			metGoal[r.customer]++
		}
		if s.greedy == 0 || r.customer != 2 {
			all = append(all, r.latency)
		}
	}
	var p95, s95, share []float64
	for i := range latencies {
		if s.greedy > 0 && i == 2 {
			continue
		}
		share = append(share, metGoal[i]/float64(len(latencies[i])))
		p95 = append(p95, quantile(latencies[i], 0.95))
		s95 = append(s95, quantile(slowdowns[i], 0.95))
	}
	return []float64{quantile(all, 0.5), quantile(all, 0.95), quantile(all, 0.99), s.wasted / s.prompt,
		quantile(p95, 1) / quantile(p95, 0.5), quantile(s95, 1) / quantile(s95, 0.5), quantile(share, 0), quantile(latencies[2], 0.95), s.share(2), s.longest.Seconds()}
}

// share returns the weighted engine time of a customer while programs arrive, relative to that of the others.
func (s *simulation) share(customer int) float64 {
	own := s.service[customer].Seconds()
	others := -own
	for _, v := range s.service {
		others += v.Seconds()
	}
	return own / 7.5 / (others / 92.5)
}

var columns = "| case | policy | p50 s | p95 s | p99 s | wasted | worst/median p95 | worst/median p95 slowdown | worst goodput | customer 2 p95 s | customer 2 share | longest wait s | p95 / first row |\n|---|---|---|---|---|---|---|---|---|---|---|---|---|"

// columnDigits is the number of decimal places of each figure.
var columnDigits = []int{1, 1, 1, 3, 3, 3, 3, 1, 3, 1, 3}

// Prints the tables of docs/MEASUREMENTS.md if -measure is set. Otherwise it runs a short case that guards against a
// default policy that is no better than the least-outstanding baseline at full load.
func TestMeasure(t *testing.T) {
	if *measure == "" {
		ours := simulate(t, policies[0], scenario{seed: 1, load: 1, duration: 5 * time.Minute}).figures()
		base := simulate(t, policies[2], scenario{seed: 1, load: 1, duration: 5 * time.Minute}).figures()
		t.Logf("seed 1: p95 %.1f against %.1f s, wasted %.3f against %.3f", ours[1], base[1], ours[3], base[3])
		if ours[1] > 0.9*base[1] || ours[3] > 0.5*base[3] {
			t.Errorf("p95 %.1f against %.1f s, wasted %.3f against %.3f", ours[1], base[1], ours[3], base[3])
		}
		return
	}
	fmt.Println(columns)
	switch *measure {
	case "loads":
		for _, l := range []float64{0.6, 0.85, 1} {
			printScenario(t, fmt.Sprintf("%.0f%%", l*100), policies, scenario{load: l})
		}
	case "greedy":
		for _, l := range []float64{0.6, 0.85, 1} {
			printScenario(t, fmt.Sprintf("%.0f%% calm, without customer 2", l*100), policies[:1], scenario{load: l, greedy: 1})
			printScenario(t, fmt.Sprintf("%.0f%%, 5x, limit", l*100), append(policies, trials[1:3]...), scenario{load: l, greedy: 5, limited: true})
			printScenario(t, fmt.Sprintf("%.0f%%, 5x, no limit", l*100), append(policies, trials[1:3]...), scenario{load: l, greedy: 5})
		}
	case "fair":
		for _, l := range []float64{0.85, 1} {
			printScenario(t, fmt.Sprintf("%.0f%%", l*100), policies[:1], scenario{load: l})
			printScenario(t, fmt.Sprintf("%.0f%%, 5x, no limit", l*100), policies[:1], scenario{load: l, greedy: 5})
		}
	case "trials":
		printScenario(t, "100%", trials, scenario{load: 1})
		printScenario(t, "85%", trials, scenario{load: 0.85})
	case "lasting":
		for _, l := range []float64{0.85, 1} {
			calm := runs(t, policies[0], scenario{load: l, greedy: 1})
			printRow(fmt.Sprintf("%.0f%% calm", l*100), policies[0], calm, calm)
			printRow(fmt.Sprintf("%.0f%%, 5x, limit", l*100), policies[0], runs(t, policies[0], scenario{load: l, greedy: 5, limited: true}), calm)
			printRow(fmt.Sprintf("%.0f%%, 5x, no limit", l*100), policies[0], runs(t, policies[0], scenario{load: l, greedy: 5}), calm)
		}
	}
}

// printScenario runs a scenario with all seeds and policies and prints the median and the range of each figure.
func printScenario(t *testing.T, name string, list []variant, c scenario) {
	var first [][]float64
	for _, v := range list {
		out := runs(t, v, c)
		if first == nil {
			first = out
		}
		printRow(name, v, out, first)
	}
}

// runs returns the figures of each seed.
func runs(t *testing.T, v variant, c scenario) [][]float64 {
	c.duration = *horizon
	out := make([][]float64, *seeds)
	var group sync.WaitGroup
	limit := make(chan struct{}, 3)
	for i := range out {
		group.Go(func() {
			limit <- struct{}{}
			x := c
			x.seed = uint64(i) + 1
			out[i] = simulate(t, v, x).figures()
			<-limit
		})
	}
	group.Wait()
	return out
}

// printRow prints the median and the range of each figure and of the p95 latency relative to first, compared per seed.
func printRow(name string, v variant, out, first [][]float64) {
	cells := []string{name, v.name}
	for k := range columnDigits {
		var values []float64
		for i, o := range out {
			if k == len(o) {
				values = append(values, o[1]/first[i][1])
				continue
			}
			values = append(values, o[k])
		}
		digits := columnDigits[k]
		cells = append(cells, fmt.Sprintf("%.*f (%.*f-%.*f)", digits, quantile(values, 0.5), digits, values[0], digits, values[len(values)-1]))
	}
	fmt.Println("| " + strings.Join(cells, " | ") + " |")
}
