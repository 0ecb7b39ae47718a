package node

import (
	"math/rand/v2"

	"github.com/cespare/xxhash/v2"

	"chestnutcleat.example/chestnutcleat"
)

var _ chestnutcleat.Directory = (*Node)(nil)

// Key implements chestnutcleat.Directory.
func (n *Node) Key(d chestnutcleat.Digest) (chestnutcleat.CustomerID, chestnutcleat.KeyState) {
	return n.manifests.Current().LookupKey(d)
}

// Customer implements chestnutcleat.Directory.
func (n *Node) Customer(id chestnutcleat.CustomerID) (chestnutcleat.Customer, bool) {
	return derefOrZero(n.manifests.Current().Customer(id))
}

// Route implements chestnutcleat.Directory.
func (n *Node) Route(name chestnutcleat.RouteName) (chestnutcleat.Route, bool) {
	return derefOrZero(n.manifests.Current().Route(name))
}

// Model implements chestnutcleat.Directory.
func (n *Node) Model(name chestnutcleat.ModelName) (chestnutcleat.Route, bool) {
	return derefOrZero(n.manifests.Current().RouteByModel(name))
}

// Upstream implements chestnutcleat.Directory.
func (n *Node) Upstream(id chestnutcleat.UpstreamID) (chestnutcleat.Upstream, bool) {
	return derefOrZero(n.manifests.Current().Upstream(id))
}

// Limits implements chestnutcleat.Directory.
func (n *Node) Limits() chestnutcleat.Limits { return n.manifests.Current().Manifest.Limits }

// VMs implements chestnutcleat.Directory. The order depends on the customer, so all callers of a customer get the same one.
func (n *Node) VMs(c chestnutcleat.CustomerID) []chestnutcleat.VM {
	var list []chestnutcleat.VM
	for _, v := range n.members.Snapshot() {
		if v.State == chestnutcleat.VMLive && v.CallerAddress != "" {
			list = append(list, v)
		}
	}
	r := rand.New(rand.NewPCG(xxhash.Sum64String(string(c)), 0))
	r.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list
}

// Subscribe implements chestnutcleat.Directory.
func (n *Node) Subscribe(d chestnutcleat.Digest, f func()) (unsubscribe func()) {
	return n.revocations.subscribe(d, f)
}

func derefOrZero[T any](p *T) (T, bool) {
	if p == nil {
		var none T
		return none, false
	}
	return *p, true
}
