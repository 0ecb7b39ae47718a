package role

import (
	"cmp"
	"context"
	"fmt"
	"net"
	"slices"
	"sync"

	"golang.org/x/sync/errgroup"

	"chestnutcleat.example/chestnutcleat"
)

// maxConcurrentQueries bounds the VMs that are queried at the same time.
const maxConcurrentQueries = 32

// Answer is the status of a VM, or the error of the query.
type Answer struct {
	VM     chestnutcleat.VMID
	Status Status
	Err    error
}

// Survey queries the VM at a metrics address and all peers that it knows, which have the same role and metrics port.
func Survey(ctx context.Context, a chestnutcleat.Address) ([]Answer, error) {
	first, err := FetchStatus(ctx, a)
	if err != nil {
		return nil, err
	}
	_, port, err := net.SplitHostPort(string(a))
	if err != nil {
		return nil, fmt.Errorf("address %q: %w", a, err)
	}
	answers := []Answer{{VM: first.VM, Status: first}}
	var mu sync.Mutex
	var g errgroup.Group
	g.SetLimit(maxConcurrentQueries)
	for _, p := range first.Peers {
		g.Go(func() error {
			status, err := queryPeer(ctx, p, port)
			mu.Lock()
			defer mu.Unlock()
			answers = append(answers, Answer{VM: p.VM, Status: status, Err: err})
			return nil
		})
	}
	if err := g.Wait(); err != nil {
		return nil, err
	}
	slices.SortFunc(answers, func(a, b Answer) int { return cmp.Compare(a.VM, b.VM) })
	return answers, nil
}

func queryPeer(ctx context.Context, p PeerStatus, port string) (Status, error) {
	host, _, err := net.SplitHostPort(string(p.Address))
	if err != nil {
		return Status{}, fmt.Errorf("address %q of %s: %w", p.Address, p.VM, err)
	}
	return FetchStatus(ctx, chestnutcleat.Address(net.JoinHostPort(host, port)))
}

// Outlier is a VM whose status differs from that of most VMs.
type Outlier struct {
	VM         chestnutcleat.VMID
	Difference string
}

// Outliers returns the VMs that didn't answer or whose status differs from that of most VMs, sorted by id.
func Outliers(answers []Answer) []Outlier {
	var answered []Answer
	var out []Outlier
	for _, a := range answers {
		if a.Err != nil {
			out = append(out, Outlier{a.VM, fmt.Sprintf("does not answer: %v", a.Err)})
			continue
		}
		answered = append(answered, a)
	}
	for _, c := range comparisons(answered) {
		out = append(out, differing(answered, c)...)
	}
	slices.SortStableFunc(out, func(a, b Outlier) int { return cmp.Compare(a.VM, b.VM) })
	return out
}

// comparison is one property by which VMs are compared.
type comparison struct {
	name  string
	value func(s *Status) string
}

// comparisons returns the properties that should be the same on all VMs.
func comparisons(answers []Answer) []comparison {
	list := []comparison{
		{"configuration", func(s *Status) string {
			if s.Configuration == nil {
				return "none"
			}
			return fmt.Sprintf("%d at version %d", s.Configuration.Number, s.Configuration.Version)
		}},
		{"copies", func(s *Status) string { return fmt.Sprintf("version %d", s.ReplicaSet.Version) }},
		{"silent VMs", func(s *Status) string { return fmt.Sprint(s.silentPeers()) }},
	}
	kinds := map[chestnutcleat.ObjectKind]bool{}
	for i := range answers {
		for _, k := range answers[i].Status.Kinds {
			kinds[k.Kind] = true
		}
	}
	for k := range kinds {
		list = append(list, comparison{"objects of kind " + string(k), func(s *Status) string { return s.describeKind(k) }})
	}
	slices.SortFunc(list, func(a, b comparison) int { return cmp.Compare(a.name, b.name) })
	return list
}

// silentPeers returns the peers that are silent.
func (s *Status) silentPeers() []chestnutcleat.VMID {
	list := []chestnutcleat.VMID{}
	for _, p := range s.Peers {
		if p.Silent {
			list = append(list, p.VM)
		}
	}
	return list
}

// describeKind describes the VM's replica of a kind.
func (s *Status) describeKind(k chestnutcleat.ObjectKind) string {
	for _, v := range s.Kinds {
		if v.Kind == k {
			return fmt.Sprintf("%d, lapsed %d, platform away %t", v.Objects, v.Retained, v.PlatformUnreachable)
		}
	}
	return "not followed"
}

// differing returns the VMs whose value is not the most frequent one.
func differing(answers []Answer, c comparison) []Outlier {
	counts := map[string]int{}
	for i := range answers {
		counts[c.value(&answers[i].Status)]++
	}
	most := ""
	for v, n := range counts {
		if n > counts[most] || n == counts[most] && v < most {
			most = v
		}
	}
	var out []Outlier
	for i := range answers {
		if v := c.value(&answers[i].Status); v != most {
			out = append(out, Outlier{answers[i].VM, fmt.Sprintf("%s: %s; of most VMs: %s", c.name, v, most)})
		}
	}
	return out
}
