package keeper

import (
	"testing"

	"github.com/matryer/is"

	"chestnutcleat.example/chestnutcleat"
)

func disk(id string) chestnutcleat.Replica {
	// The first letter of a disk's id names its VM and failure domain; a number marks a replacement disk.
	return chestnutcleat.Replica{Disk: chestnutcleat.DiskID(id), VM: chestnutcleat.VMID(id[:1]), Domain: chestnutcleat.FailureDomain(id[:1])}
}

func candidate(id string, flags ...string) Candidate {
	c := Candidate{Replica: disk(id), Alive: true}
	for _, f := range flags {
		switch f {
		case "lost":
			c.Alive = false
		case "retiring":
			c.Retiring = true
		}
	}
	return c
}

// However storage VMs join, leave or lose disks, the selected set must have the most live replicas.
func TestSelectDisks(t *testing.T) {
	for name, c := range map[string]struct {
		current    []string
		candidates []Candidate
		want       string
	}{
		"first set":                {nil, []Candidate{candidate("a"), candidate("b"), candidate("c"), candidate("d")}, "abc"},
		"too few":                  {nil, []Candidate{candidate("a")}, "a"},
		"nothing to do":            {[]string{"a", "b", "c"}, []Candidate{candidate("a"), candidate("b"), candidate("c"), candidate("d")}, "abc"},
		"lost, no other":           {[]string{"a", "b", "c"}, []Candidate{candidate("a"), candidate("b"), candidate("c", "lost")}, "abc"},
		"lost, replaced":           {[]string{"a", "b", "c"}, []Candidate{candidate("a"), candidate("b"), candidate("c", "lost"), candidate("d")}, "abd"},
		"new disk":                 {[]string{"a", "b", "c"}, []Candidate{candidate("a"), candidate("b"), candidate("c2")}, "abc2"},
		"new disk, lost":           {[]string{"a", "b", "c"}, []Candidate{candidate("a"), candidate("b"), candidate("c2", "lost")}, "abc"},
		"new disk retiring":        {[]string{"a", "b", "c"}, []Candidate{candidate("a"), candidate("b"), candidate("c2", "retiring")}, "ab"},
		"retiring, replaced":       {[]string{"a", "b", "c"}, []Candidate{candidate("a"), candidate("b"), candidate("c", "retiring"), candidate("d")}, "abd"},
		"retiring, no other":       {[]string{"a", "b", "c"}, []Candidate{candidate("a"), candidate("b"), candidate("c", "retiring")}, "ab"},
		"second retiring":          {[]string{"a", "b"}, []Candidate{candidate("a"), candidate("b", "retiring")}, "ab"},
		"both retiring":            {[]string{"a", "b"}, []Candidate{candidate("a", "retiring"), candidate("b", "retiring")}, "ab"},
		"retiring, one lost":       {[]string{"a", "b", "c"}, []Candidate{candidate("a"), candidate("b", "retiring"), candidate("c", "lost")}, "abc"},
		"second retiring, new one": {[]string{"a", "b"}, []Candidate{candidate("a"), candidate("b", "retiring"), candidate("d")}, "ad"},
		"one of two lost":          {[]string{"a", "b"}, []Candidate{candidate("a"), candidate("b", "lost")}, "a"},
		"both lost":                {[]string{"a", "b"}, []Candidate{candidate("a", "lost"), candidate("b", "lost")}, "a"},
		"one of two new":           {[]string{"a", "b"}, []Candidate{candidate("a2"), candidate("b")}, "a2b"},
		"back to two":              {[]string{"a"}, []Candidate{candidate("a"), candidate("b")}, "ab"},
		"not listed any more":      {[]string{"a", "b", "c"}, []Candidate{candidate("a"), candidate("b")}, "abc"},
		"grows back":               {[]string{"a", "b"}, []Candidate{candidate("a"), candidate("b"), candidate("d")}, "abd"},
		"lost spare":               {[]string{"a", "b"}, []Candidate{candidate("a"), candidate("b"), candidate("d", "lost")}, "ab"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var current []chestnutcleat.Replica
			for _, id := range c.current {
				current = append(current, disk(id))
			}
			got := ""
			for _, v := range SelectDisks(current, c.candidates, 3) {
				got += string(v.Disk)
			}
			is.Equal(got, c.want)
		})
	}
}

// Replicas in one failure domain would be lost together.
func TestSelectDisksSpreadsDomains(t *testing.T) {
	is := is.New(t)
	sameDomain := candidate("b")
	sameDomain.Domain = "a"
	list := SelectDisks(nil, []Candidate{candidate("a"), sameDomain, candidate("c"), candidate("d")}, 3)
	is.Equal(list[0].Disk, chestnutcleat.DiskID("a"))
	is.Equal(list[1].Disk, chestnutcleat.DiskID("c"))
	is.Equal(list[2].Disk, chestnutcleat.DiskID("d"))
}
