package config

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"chestnutcleat.example/chestnutcleat"
)

// Table indexes a configuration for lookups by host, path and key.
type Table struct {
	Config
	routesByHost   map[string][]*Route
	customersByKey map[string]*Customer
	createdAt      time.Time
}

// NewTable returns the index of a configuration.
func NewTable(c Config) *Table {
	t := &Table{
		Config:         c,
		routesByHost:   map[string][]*Route{},
		customersByKey: map[string]*Customer{},
		createdAt:      time.Now(),
	}
	for i := range c.Routes {
		r := &c.Routes[i]
		t.routesByHost[r.Host] = append(t.routesByHost[r.Host], r)
	}
	for _, list := range t.routesByHost {
		slices.SortStableFunc(list, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	for i := range c.Customers {
		customer := &c.Customers[i]
		for _, k := range customer.Keys {
			t.customersByKey[k] = customer
		}
	}
	return t
}

// Age returns the time since the table was made.
func (t *Table) Age() time.Duration { return time.Since(t.createdAt) }

// MatchRoute returns the route of the host with the longest matching path prefix.
func (t *Table) MatchRoute(host, path string) (*Route, bool) {
	for _, r := range t.routesByHost[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}

// CustomerByKey returns the customer that holds a key.
func (t *Table) CustomerByKey(key string) (*Customer, bool) {
	customer, ok := t.customersByKey[key]
	return customer, ok
}

// RequiresKey reports whether requests need a key, which is so if there are any customers.
func (t *Table) RequiresKey() bool { return len(t.Customers) > 0 }

// LeadsTo reports whether the route sends requests to a service. The only service of a route gets all of them, whatever its weight.
func (r *Route) LeadsTo(s chestnutcleat.ServiceName) bool {
	return slices.ContainsFunc(r.Targets, func(t Target) bool { return t.Service == s && (t.Weight > 0 || len(r.Targets) == 1) })
}

// PickService picks a service by the weights of the route's targets; draw is uniform in [0, 1).
func (r *Route) PickService(draw float64) chestnutcleat.ServiceName {
	total := 0
	for _, target := range r.Targets {
		total += target.Weight
	}
	remaining := draw * float64(total)
	for _, target := range r.Targets {
		if remaining -= float64(target.Weight); remaining < 0 {
			return target.Service
		}
	}
	return r.Targets[len(r.Targets)-1].Service
}
