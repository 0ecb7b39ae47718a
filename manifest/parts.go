package manifest

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"

	"chestnutcleat.example/chestnutcleat"
)

const (
	// maxPartBytes is the largest size of a part.
	maxPartBytes = 256 << 10
	// targetPartBytes is the average size that parts are split to. With 5,000 customers, a change of one customer then
	// transfers one such part instead of the whole manifest.
	targetPartBytes = 16 << 10
	// maxParts keeps the root below 256 KB.
	maxParts = 2048
)

// part is the content of one part; each entry belongs to the part given by the hash of its id.
type part struct {
	Customers []chestnutcleat.Customer `json:"customers,omitempty"`
	Upstreams []chestnutcleat.Upstream `json:"upstreams,omitempty"`
	Routes    []chestnutcleat.Route    `json:"routes,omitempty"`
}

// split encodes a manifest as an ordered list of parts; equal manifests give equal parts.
func split(m chestnutcleat.Manifest) ([][]byte, error) {
	whole, err := json.Marshal(m)
	if err != nil {
		return nil, fmt.Errorf("encode manifest: %w", err)
	}
	n := 1
	for n < maxParts && len(whole)/n > targetPartBytes {
		n *= 2
	}
	for ; n <= maxParts; n *= 2 {
		parts, largest, err := splitInto(m, n)
		if err != nil {
			return nil, err
		}
		if largest <= maxPartBytes {
			return parts, nil
		}
	}
	return nil, fmt.Errorf("manifest of %d bytes does not fit into %d parts of %d bytes", len(whole), maxParts, maxPartBytes)
}

func splitInto(m chestnutcleat.Manifest, n int) (parts [][]byte, largest int, err error) {
	list := make([]part, n)
	partOf := func(id string) *part { return &list[xxhash.Sum64String(id)%uint64(n)] }
	for _, c := range m.Customers {
		p := partOf(string(c.ID))
		p.Customers = append(p.Customers, c)
	}
	for _, u := range m.Upstreams {
		p := partOf(string(u.ID))
		p.Upstreams = append(p.Upstreams, u)
	}
	for _, r := range m.Routes {
		p := partOf(string(r.Name))
		p.Routes = append(p.Routes, r)
	}
	for i := range list {
		list[i].sort()
		data, err := json.Marshal(list[i])
		if err != nil {
			return nil, 0, fmt.Errorf("encode part of manifest: %w", err)
		}
		largest = max(largest, len(data))
		parts = append(parts, data)
	}
	return parts, largest, nil
}

func (p *part) sort() {
	slices.SortFunc(p.Customers, func(a, b chestnutcleat.Customer) int { return cmp.Compare(a.ID, b.ID) })
	slices.SortFunc(p.Upstreams, func(a, b chestnutcleat.Upstream) int { return cmp.Compare(a.ID, b.ID) })
	slices.SortFunc(p.Routes, func(a, b chestnutcleat.Route) int { return cmp.Compare(a.Name, b.Name) })
}

// join decodes the manifest of a root whose parts are all present; entries are sorted by id.
func join(r Root, parts map[chestnutcleat.Digest][]byte) (chestnutcleat.Manifest, error) {
	var all part
	for _, d := range r.Parts {
		var p part
		if err := json.Unmarshal(parts[d], &p); err != nil {
			return chestnutcleat.Manifest{}, fmt.Errorf("decode part %s of manifest: %w", d, err)
		}
		all.Customers = append(all.Customers, p.Customers...)
		all.Upstreams = append(all.Upstreams, p.Upstreams...)
		all.Routes = append(all.Routes, p.Routes...)
	}
	all.sort()
	m := chestnutcleat.Manifest{
		Revision:  r.Revision,
		Customers: all.Customers,
		Upstreams: all.Upstreams,
		Routes:    all.Routes,
		Limits:    r.Limits,
	}
	return m, nil
}
