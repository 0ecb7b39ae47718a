package manifest

import "chestnutcleat.example/chestnutcleat"

// View is an immutable, indexed snapshot of the manifest and the key changes, safe for concurrent use.
type View struct {
	Manifest *chestnutcleat.Manifest

	customers map[chestnutcleat.CustomerID]*chestnutcleat.Customer
	upstreams map[chestnutcleat.UpstreamID]*chestnutcleat.Upstream
	routes    map[chestnutcleat.RouteName]*chestnutcleat.Route
	models    map[chestnutcleat.ModelName]*chestnutcleat.Route
	digests   map[chestnutcleat.Digest]chestnutcleat.CustomerID
	keys      map[chestnutcleat.Digest]Key
}

// NewView indexes a manifest, without key changes.
func NewView(m chestnutcleat.Manifest) *View {
	v := &View{
		Manifest:  &m,
		customers: make(map[chestnutcleat.CustomerID]*chestnutcleat.Customer, len(m.Customers)),
		upstreams: make(map[chestnutcleat.UpstreamID]*chestnutcleat.Upstream, len(m.Upstreams)),
		routes:    make(map[chestnutcleat.RouteName]*chestnutcleat.Route, len(m.Routes)),
		models:    map[chestnutcleat.ModelName]*chestnutcleat.Route{},
		digests:   make(map[chestnutcleat.Digest]chestnutcleat.CustomerID, len(m.Customers)),
	}
	for i := range m.Customers {
		c := &m.Customers[i]
		v.customers[c.ID] = c
		for _, d := range c.Keys {
			v.digests[d] = c.ID
		}
	}
	for i := range m.Upstreams {
		v.upstreams[m.Upstreams[i].ID] = &m.Upstreams[i]
	}
	for i := range m.Routes {
		r := &m.Routes[i]
		v.routes[r.Name] = r
		if r.Kind == chestnutcleat.UpstreamEngine {
			v.models[r.Model] = r
		}
	}
	return v
}

// withKeys returns a copy of the view with other key changes; keys must not be modified afterwards.
func (v *View) withKeys(keys map[chestnutcleat.Digest]Key) *View {
	c := *v
	c.keys = keys
	return &c
}

// Revision returns the manifest's revision; zero means that no manifest is known yet.
func (v *View) Revision() chestnutcleat.Revision { return v.Manifest.Revision }

// LookupKey returns the customer and the state of the key with a digest.
func (v *View) LookupKey(d chestnutcleat.Digest) (chestnutcleat.CustomerID, chestnutcleat.KeyState) {
	k, changed := v.keys[d]
	if changed && k.Withdrawn {
		return "", chestnutcleat.KeyWithdrawn
	}
	if c, ok := v.digests[d]; ok {
		return c, chestnutcleat.KeyActive
	}
	if _, ok := v.customers[k.Customer]; changed && ok {
		return k.Customer, chestnutcleat.KeyActive
	}
	return "", chestnutcleat.KeyUnknown
}

// Customer returns a customer or nil.
func (v *View) Customer(id chestnutcleat.CustomerID) *chestnutcleat.Customer { return v.customers[id] }

// Upstream returns an upstream or nil.
func (v *View) Upstream(id chestnutcleat.UpstreamID) *chestnutcleat.Upstream { return v.upstreams[id] }

// Route returns a route or nil.
func (v *View) Route(name chestnutcleat.RouteName) *chestnutcleat.Route { return v.routes[name] }

// RouteByModel returns the route of a model or nil.
func (v *View) RouteByModel(name chestnutcleat.ModelName) *chestnutcleat.Route { return v.models[name] }

// deactivatedKeys returns the keys that are active in v and, in next, inactive or another customer's.
func (v *View) deactivatedKeys(next *View) []chestnutcleat.Digest {
	var list []chestnutcleat.Digest
	check := func(d chestnutcleat.Digest) {
		c, s := v.LookupKey(d)
		if s != chestnutcleat.KeyActive {
			return
		}
		if n, s := next.LookupKey(d); s != chestnutcleat.KeyActive || n != c {
			list = append(list, d)
		}
	}
	for d := range v.digests {
		check(d)
	}
	for d := range v.keys {
		if _, ok := v.digests[d]; !ok {
			check(d)
		}
	}
	return list
}
