package manifest

import (
	"fmt"
	"math"
	"net/netip"
	"slices"
	"strings"
	"time"
	"unicode"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/document"
)

// maxIDBytes bounds ids, as they appear in headers, metrics and object names.
const maxIDBytes = 128

// validator checks the rules that decoding cannot, such as references between entries.
type validator struct {
	manifest *chestnutcleat.Manifest
	document *document.Document

	customers map[chestnutcleat.CustomerID]int
	upstreams map[chestnutcleat.UpstreamID]int
	routes    map[chestnutcleat.RouteName]int
	models    map[chestnutcleat.ModelName]int
	keys      map[chestnutcleat.Digest]string
}

func (v *validator) run() {
	v.customers = map[chestnutcleat.CustomerID]int{}
	v.upstreams = map[chestnutcleat.UpstreamID]int{}
	v.routes = map[chestnutcleat.RouteName]int{}
	v.models = map[chestnutcleat.ModelName]int{}
	v.keys = map[chestnutcleat.Digest]string{}
	v.nonEmpty("customers", len(v.manifest.Customers), "customer")
	v.nonEmpty("routes", len(v.manifest.Routes), "route")
	for i := range v.manifest.Customers {
		v.customer(fmt.Sprintf("customers[%d]", i), i, &v.manifest.Customers[i])
	}
	for i := range v.manifest.Upstreams {
		v.upstream(fmt.Sprintf("upstreams[%d]", i), i, &v.manifest.Upstreams[i])
	}
	for i := range v.manifest.Routes {
		v.route(fmt.Sprintf("routes[%d]", i), i, &v.manifest.Routes[i])
	}
	v.limits()
}

func (v *validator) add(field, format string, args ...any) { v.document.Add(field, format, args...) }

func (v *validator) nonEmpty(field string, n int, what string) {
	if n == 0 {
		v.add(field, "expected at least one %s", what)
	}
}

// id checks that an id is well-formed and unique.
func id[T ~string](v *validator, field string, value T, i int, seen map[T]int, list string) {
	if value == "" || len(value) > maxIDBytes || strings.ContainsFunc(string(value), notAllowed) {
		v.add(field, "expected 1 to %d printable characters without spaces, found %q", maxIDBytes, value)
		return
	}
	if j, ok := seen[value]; ok {
		v.add(field, "expected a unique id, %q is also %s[%d]", value, list, j)
		return
	}
	seen[value] = i
}

func notAllowed(r rune) bool {
	return r == unicode.ReplacementChar || !unicode.IsGraphic(r) || unicode.IsSpace(r)
}

func (v *validator) customer(field string, i int, c *chestnutcleat.Customer) {
	id(v, field+".id", c.ID, i, v.customers, "customers")
	v.positive(field+".rate", c.Rate, "requests per second")
	if c.Burst < 1 || math.IsInf(c.Burst, 0) {
		v.add(field+".burst", "expected at least 1 request, found %v", c.Burst)
	}
	v.notNegative(field+".weight", c.Weight)
	for j, k := range c.Keys {
		at := fmt.Sprintf("%s.keys[%d]", field, j)
		if other, ok := v.keys[k]; ok {
			v.add(at, "expected a unique key, the digest is also %s", other)
			continue
		}
		v.keys[k] = at
	}
}

func (v *validator) upstream(field string, i int, u *chestnutcleat.Upstream) {
	id(v, field+".id", u.ID, i, v.upstreams, "upstreams")
	v.kind(field+".kind", u.Kind)
	if _, err := netip.ParseAddrPort(string(u.Address)); err != nil {
		v.add(field+".address", "expected IP:port, such as \"10.0.0.1:8000\", found %q", u.Address)
	}
	if u.Domain == "" {
		v.add(field+".domain", "expected the failure domain")
	}
	if len(u.Version) > maxIDBytes || strings.ContainsFunc(string(u.Version), notAllowed) {
		v.add(field+".version", "expected at most %d printable characters without spaces, found %q", maxIDBytes, u.Version)
	}
	if u.Slots < 1 {
		v.add(field+".slots", "expected at least 1 concurrent request, found %d", u.Slots)
	}
	if u.Kind == chestnutcleat.UpstreamEngine && len(u.Models) == 0 {
		v.add(field+".models", "expected at least one model of an engine")
	}
	if u.Kind == chestnutcleat.UpstreamService && len(u.Models) > 0 {
		v.add(field+".models", "expected no models, as the upstream is a service")
	}
	v.notNegative(field+".cache", float64(u.Cache))
	v.notNegative(field+".prefill", u.Prefill)
	v.notNegative(field+".decode", u.Decode)
}

func (v *validator) route(field string, i int, r *chestnutcleat.Route) {
	id(v, field+".name", r.Name, i, v.routes, "routes")
	v.kind(field+".kind", r.Kind)
	switch {
	case r.Kind == chestnutcleat.UpstreamEngine:
		id(v, field+".model", r.Model, i, v.models, "routes")
	case r.Model != "":
		v.add(field+".model", "expected no model, as the route is of kind %q", r.Kind)
	}
	v.nonEmpty(field+".upstreams", len(r.Upstreams), "upstream")
	for j, u := range r.Upstreams {
		v.routeUpstream(fmt.Sprintf("%s.upstreams[%d]", field, j), r, j, u)
	}
	v.access(field, r)
	v.duration(field+".timeout", r.Timeout)
}

func (v *validator) routeUpstream(field string, r *chestnutcleat.Route, j int, u chestnutcleat.UpstreamID) {
	i, ok := v.upstreams[u]
	if !ok {
		v.add(field, "expected the id of an upstream, found %q", u)
		return
	}
	up := &v.manifest.Upstreams[i]
	switch {
	case slices.Contains(r.Upstreams[:j], u):
		v.add(field, "expected each upstream once, found %q twice", u)
	case up.Kind != r.Kind:
		v.add(field, "expected an upstream of kind %q, %q is of kind %q", r.Kind, u, up.Kind)
	case r.Kind == chestnutcleat.UpstreamEngine && !slices.Contains(up.Models, r.Model):
		v.add(field, "expected an engine with model %q, %q does not have it", r.Model, u)
	}
}

// access checks who may use a route and whether its calls may be repeated.
func (v *validator) access(field string, r *chestnutcleat.Route) {
	if !v.document.Has(field + ".repeatable") {
		v.add(field+".repeatable", "expected true or false")
	}
	if r.Open && !r.Repeatable {
		v.add(field+".open", "expected a repeatable route: without a key, a repeated call cannot be recognised")
	}
	if r.Open && len(r.Customers) > 0 {
		v.add(field+".customers", "expected no customers, as the route is open")
	}
	for j, c := range r.Customers {
		if _, ok := v.customers[c]; !ok {
			v.add(fmt.Sprintf("%s.customers[%d]", field, j), "expected the id of a customer, found %q", c)
		}
	}
}

func (v *validator) limits() {
	l := v.manifest.Limits
	v.notNegative("limits.tokens", float64(l.Tokens))
	v.notNegative("limits.calls", float64(l.Calls))
	v.notNegative("limits.body", float64(l.MaxBodyBytes))
	v.duration("limits.wall", l.WallClock)
	v.duration("limits.idle", l.Idle)
}

func (v *validator) kind(field string, k chestnutcleat.UpstreamKind) {
	if k != chestnutcleat.UpstreamEngine && k != chestnutcleat.UpstreamService {
		v.add(field, "expected \"engine\" or \"service\", found %q", k)
	}
}

func (v *validator) positive(field string, n float64, unit string) {
	if n <= 0 || math.IsInf(n, 0) {
		v.add(field, "expected %s above 0, found %v", unit, n)
	}
}

func (v *validator) notNegative(field string, n float64) {
	if n < 0 || math.IsInf(n, 0) {
		v.add(field, "expected at least 0, found %v", n)
	}
}

func (v *validator) duration(field string, d chestnutcleat.Duration) {
	if d < 0 {
		v.add(field, "expected a duration of at least 0, found %q", time.Duration(d))
	}
}
