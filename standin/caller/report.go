package caller

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"chestnutcleat.example/chestnutcleat"
)

// Report holds the results of a load run.
type Report struct {
	Customers []*Stats
	Elapsed   time.Duration
}

// Total returns the results of all customers together.
func (r Report) Total() *Stats {
	out := newStats("total")
	for _, s := range r.Customers {
		out.Started += s.Started
		out.Finished += s.Finished
		out.Failed += s.Failed
		out.Failovers += s.Failovers
		out.Usage.Prompt += s.Usage.Prompt
		out.Usage.Cached += s.Usage.Cached
		out.Usage.Output += s.Usage.Output
		out.Latency.Merge(s.Latency)
		out.FirstToken.Merge(s.FirstToken)
		for code, n := range s.Refusals {
			out.Refusals[code] += n
		}
	}
	return out
}

// Write prints the report as a table with a row for each customer and one for the total.
func (r Report) Write(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 8, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "customer\tstarted\tfinished\tfailed\tp50\tp95\tp99\tfirst token p95\tprompt\toutput\tcached\tfailovers\trefusals\t")
	for _, s := range append(slices.Clone(r.Customers), r.Total()) {
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%s\t%s\t%s\t%s\t%d\t%d\t%.0f%%\t%d\t%s\t\n",
			s.Customer, s.Started, s.Finished, s.Failed, formatDuration(s.Percentile(50)), formatDuration(s.Percentile(95)), formatDuration(s.Percentile(99)),
			formatDuration(time.Duration(s.FirstToken.ValueAtQuantile(95))*time.Microsecond),
			s.Usage.Prompt, s.Usage.Output, 100*s.CachedShare(), s.Failovers, formatRefusals(s.Refusals))
	}
	return t.Flush()
}

func formatDuration(d time.Duration) string { return d.Round(time.Millisecond).String() }

func formatRefusals(m map[chestnutcleat.Code]int) string {
	if len(m) == 0 {
		return "none"
	}
	var parts []string
	for _, code := range slices.Sorted(maps.Keys(m)) {
		parts = append(parts, fmt.Sprintf("%s=%d", code, m[code]))
	}
	return strings.Join(parts, " ")
}
