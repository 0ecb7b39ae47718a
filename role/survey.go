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

// surveyWidth is the number of VMs that are asked at one time.
const surveyWidth = 32

// Answer is what a VM takes for true, or why it did not say.
type Answer struct {
	VM      chestnutcleat.VMID
	Beliefs Beliefs
	Err     error
}

// Survey asks a VM, by its metrics address, and all VMs of its role that it knows, which have the same metrics port.
func Survey(ctx context.Context, a chestnutcleat.Address) ([]Answer, error) {
	first, err := AskBeliefs(ctx, a)
	if err != nil {
		return nil, err
	}
	_, port, err := net.SplitHostPort(string(a))
	if err != nil {
		return nil, fmt.Errorf("address %q: %w", a, err)
	}
	answers := []Answer{{VM: first.VM, Beliefs: first}}
	var mu sync.Mutex
	var g errgroup.Group
	g.SetLimit(surveyWidth)
	for _, p := range first.Peers {
		g.Go(func() error {
			b, err := askPeer(ctx, p, port)
			mu.Lock()
			defer mu.Unlock()
			answers = append(answers, Answer{VM: p.VM, Beliefs: b, Err: err})
			return nil
		})
	}
	if err := g.Wait(); err != nil {
		return nil, err
	}
	slices.SortFunc(answers, func(a, b Answer) int { return cmp.Compare(a.VM, b.VM) })
	return answers, nil
}

func askPeer(ctx context.Context, p PeerBelief, port string) (Beliefs, error) {
	host, _, err := net.SplitHostPort(string(p.Address))
	if err != nil {
		return Beliefs{}, fmt.Errorf("address %q of %s: %w", p.Address, p.VM, err)
	}
	return AskBeliefs(ctx, chestnutcleat.Address(net.JoinHostPort(host, port)))
}

// Outlier is a VM whose beliefs differ from those of most VMs.
type Outlier struct {
	VM   chestnutcleat.VMID
	What string
}

// Outliers returns the VMs that did not answer or believe other than most do, in the order of their ids.
func Outliers(answers []Answer) []Outlier {
	var said []Answer
	var out []Outlier
	for _, a := range answers {
		if a.Err != nil {
			out = append(out, Outlier{a.VM, fmt.Sprintf("does not answer: %v", a.Err)})
			continue
		}
		said = append(said, a)
	}
	for _, look := range looks(said) {
		out = append(out, unlike(said, look)...)
	}
	slices.SortStableFunc(out, func(a, b Outlier) int { return cmp.Compare(a.VM, b.VM) })
	return out
}

// look is one belief in which VMs are compared.
type look struct {
	name string
	of   func(b *Beliefs) string
}

// looks are the beliefs that all VMs should share.
func looks(said []Answer) []look {
	list := []look{
		{"configuration", func(b *Beliefs) string {
			if b.Configuration == nil {
				return "none"
			}
			return fmt.Sprintf("%d at version %d", b.Configuration.Number, b.Configuration.Version)
		}},
		{"copies", func(b *Beliefs) string { return fmt.Sprintf("version %d", b.Copies.Version) }},
		{"silent VMs", func(b *Beliefs) string { return fmt.Sprint(b.silent()) }},
	}
	kinds := map[chestnutcleat.ObjectKind]bool{}
	for i := range said {
		for _, k := range said[i].Beliefs.Kinds {
			kinds[k.Kind] = true
		}
	}
	for k := range kinds {
		list = append(list, look{"objects of kind " + string(k), func(b *Beliefs) string { return b.kind(k) }})
	}
	slices.SortFunc(list, func(a, b look) int { return cmp.Compare(a.name, b.name) })
	return list
}

// silent returns the VMs that are not heard.
func (b *Beliefs) silent() []chestnutcleat.VMID {
	list := []chestnutcleat.VMID{}
	for _, p := range b.Peers {
		if p.Silent {
			list = append(list, p.VM)
		}
	}
	return list
}

// kind describes what the VM knows of a kind.
func (b *Beliefs) kind(k chestnutcleat.ObjectKind) string {
	for _, v := range b.Kinds {
		if v.Kind == k {
			return fmt.Sprintf("%d, lapsed %d, platform away %t", v.Objects, v.Lapsed, v.Away)
		}
	}
	return "not followed"
}

// unlike returns the VMs whose belief is not the most frequent one.
func unlike(said []Answer, l look) []Outlier {
	counts := map[string]int{}
	for i := range said {
		counts[l.of(&said[i].Beliefs)]++
	}
	most := ""
	for v, n := range counts {
		if n > counts[most] || n == counts[most] && v < most {
			most = v
		}
	}
	var out []Outlier
	for i := range said {
		if v := l.of(&said[i].Beliefs); v != most {
			out = append(out, Outlier{said[i].VM, fmt.Sprintf("%s: %s; of most VMs: %s", l.name, v, most)})
		}
	}
	return out
}
