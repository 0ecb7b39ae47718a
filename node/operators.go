package node

import (
	"context"
	"fmt"
	"io"
	"slices"
	"strings"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/operator"
)

// OperatorHandler returns the handler of the listener for operators; metrics writes additional metrics.
func (n *Node) OperatorHandler(metrics func(io.Writer)) *operator.Handler {
	h := &operator.Handler{
		VMs:       func(context.Context) ([]chestnutcleat.VM, error) { return n.members.Snapshot(), nil },
		Upstreams: func(context.Context) ([]chestnutcleat.Load, error) { return n.upstreamLoads(), nil },
		Drain:     n.Drain,
		Ready:     n.Ready,
		Metrics: func(w io.Writer) {
			n.writeMetrics(w)
			metrics(w)
		},
	}
	h.Bind(n.Loop, n.manifests, n.Platform)
	return h
}

// upstreamLoads returns the load summaries of all upstreams of the manifest.
func (n *Node) upstreamLoads() []chestnutcleat.Load {
	var list []chestnutcleat.Load
	for _, u := range n.manifests.Current().Manifest.Upstreams {
		list = append(list, n.loads.get(u.ID))
	}
	slices.SortFunc(list, func(a, b chestnutcleat.Load) int { return strings.Compare(string(a.Upstream), string(b.Upstream)) })
	return list
}

// Ready returns why this VM cannot serve callers, or nil.
func (n *Node) Ready(ctx context.Context) error {
	var err error
	if e := n.Loop.Do(ctx, func() { err = n.checkReady() }); e != nil {
		return e
	}
	return err
}

func (n *Node) checkReady() error {
	if !n.manifests.Ready() {
		return fmt.Errorf("no manifest is in effect")
	}
	if n.keeper.Epoch() == 0 {
		return fmt.Errorf("this VM has not joined the fleet")
	}
	return nil
}
