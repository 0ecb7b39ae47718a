package config

import (
	"testing"

	"github.com/matryer/is"

	"chestnutcleat.example/chestnutcleat"
)

// A request must match only a prefix of its own host, and the longest one.
func TestRouteByLongestPrefix(t *testing.T) {
	is := is.New(t)
	table := NewTable(Config{Routes: []Route{
		{Name: "short", Host: "a", Prefix: "/x/"}, {Name: "long", Host: "a", Prefix: "/x/y/"}, {Name: "other", Host: "b", Prefix: "/"},
	}})
	for _, c := range []struct {
		host, path string
		want       chestnutcleat.RouteName
	}{
		{"a", "/x/1", "short"}, {"a", "/x/y/1", "long"}, {"a", "/x/yy", "short"}, {"b", "/x/y/1", "other"},
		{"a", "/x", ""}, {"a", "/z/", ""}, {"c", "/x/", ""},
	} {
		r, ok := table.MatchRoute(c.host, c.path)
		is.Equal(ok, c.want != "")
		if ok {
			is.Equal(r.Name, c.want)
		}
	}
}

// Weights must hold at both ends of the draw; a service with weight zero must get no requests.
func TestWeightedTargets(t *testing.T) {
	is := is.New(t)
	r := Route{Targets: []Target{{"a", 90}, {"none", 0}, {"b", 10}}}
	is.Equal(r.PickService(0), chestnutcleat.ServiceName("a"))
	is.Equal(r.PickService(0.899), chestnutcleat.ServiceName("a"))
	is.Equal(r.PickService(0.9), chestnutcleat.ServiceName("b"))
	is.Equal(r.PickService(0.9999), chestnutcleat.ServiceName("b"))
}

// Only keys in the configuration may identify a customer.
func TestKeys(t *testing.T) {
	is := is.New(t)
	table := NewTable(Config{Customers: []Customer{{ID: "c", Keys: []string{"k1", "k2"}}}})
	c, ok := table.CustomerByKey("k2")
	is.True(ok)
	is.Equal(c.ID, chestnutcleat.CustomerID("c"))
	_, ok = table.CustomerByKey("")
	is.True(!ok)
}
