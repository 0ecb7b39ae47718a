package config

import (
	"cmp"
	"slices"
	"strings"

	"chestnutcleat.example/chestnutcleat"
)

// Table answers questions about one configuration.
type Table struct {
	Config
	hosts map[string][]*Route
	keys  map[string]*Customer
}

// NewTable indexes a configuration.
func NewTable(c Config) *Table {
	t := &Table{
		Config: c,
		hosts:  map[string][]*Route{},
		keys:   map[string]*Customer{},
	}
	for i := range c.Routes {
		r := &c.Routes[i]
		t.hosts[r.Host] = append(t.hosts[r.Host], r)
	}
	for _, list := range t.hosts {
		slices.SortStableFunc(list, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	for i := range c.Customers {
		u := &c.Customers[i]
		for _, k := range u.Keys {
			t.keys[k] = u
		}
	}
	return t
}

// Route returns the route with the longest prefix that begins the path.
func (t *Table) Route(host, path string) (*Route, bool) {
	for _, r := range t.hosts[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}

// Key returns the customer that holds a key.
func (t *Table) Key(key string) (*Customer, bool) {
	u, ok := t.keys[key]
	return u, ok
}

// Keyed reports whether requests need a key at all.
func (t *Table) Keyed() bool { return len(t.Customers) > 0 }

// Service picks the service of a request by the routes' weights; draw is uniform in [0, 1).
func (r *Route) Service(draw float64) chestnutcleat.ServiceName {
	total := 0
	for _, g := range r.Targets {
		total += g.Weight
	}
	at := draw * float64(total)
	for _, g := range r.Targets {
		if at -= float64(g.Weight); at < 0 {
			return g.Service
		}
	}
	return r.Targets[len(r.Targets)-1].Service
}
