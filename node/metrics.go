package node

import (
	"fmt"
	"io"

	"github.com/VictoriaMetrics/metrics"
)

// gauge is a metric of the control state.
type gauge struct {
	name  string
	value float64
}

// writeMetrics writes the gauges of the control state.
func (n *Node) writeMetrics(w io.Writer) {
	var list []gauge
	if err := n.runOnLoop(func() { list = n.gauges() }); err != nil {
		return
	}
	s := metrics.NewSet()
	for _, g := range list {
		s.NewGauge(fmt.Sprintf("chestnutcleat_%s", g.name), func() float64 { return g.value })
	}
	s.WritePrometheus(w)
}

func (n *Node) gauges() []gauge {
	p := n.programs.Stats()
	list := []gauge{
		{"lease_epoch", float64(n.keeper.Epoch())},
		{"manifest_revision", float64(n.manifests.Revision())},
		{"members", float64(len(n.members.Members()))},
		{"programs", float64(p.Programs)},
		{"program_answer_bytes", float64(p.Retained)},
		{"program_calls_begun", float64(p.Begun)},
		{"program_calls_joined", float64(p.Joined)},
		{"program_calls_replayed", float64(p.Replays)},
		{"program_calls_refused", float64(p.Refused)},
		{"program_calls_unknown", float64(p.Unknown)},
		{"program_reports_late", float64(p.Late)},
		{"program_entries_silent", float64(p.Silent)},
	}
	for _, l := range n.upstreams.Loads() {
		list = append(list,
			gauge{fmt.Sprintf("upstream_running{upstream=%q}", l.Upstream), float64(l.Running)},
			gauge{fmt.Sprintf("upstream_queued{upstream=%q}", l.Upstream), float64(l.Queued)})
	}
	return list
}
