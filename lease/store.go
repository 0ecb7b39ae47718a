package lease

import (
	"slices"
	"sort"

	"chestnutcleat.example/chestnutcleat"
)

// stampEpochBits is the number of bits of a stamp below the epoch.
const stampEpochBits = 32

// store holds the newest entry of each record of an owner.
type store struct {
	stamp   Stamp
	entries map[entryKey]Entry
	// log lists the keys in the order of their stamps; superseded ones are skipped.
	log []logged
}

type logged struct {
	stamp Stamp
	key   entryKey
}

func newStore(e chestnutcleat.Epoch) *store {
	return &store{stamp: Stamp(e) << stampEpochBits, entries: map[entryKey]Entry{}}
}

func (s *store) put(r chestnutcleat.Record) {
	s.stamp++
	e := Entry{Stamp: s.stamp, Record: r}
	s.entries[e.key()] = e
	s.log = append(s.log, logged{e.Stamp, e.key()})
	if len(s.log) > 2*len(s.entries)+64 {
		s.log = slices.DeleteFunc(s.log, func(l logged) bool { return s.entries[l.key].Stamp != l.stamp })
	}
}

// since returns the entries after a stamp.
func (s *store) since(from Stamp) []Entry {
	i := sort.Search(len(s.log), func(i int) bool { return s.log[i].stamp > from })
	var list []Entry
	for _, l := range s.log[i:] {
		if e := s.entries[l.key]; e.Stamp == l.stamp {
			list = append(list, e)
		}
	}
	return list
}

// replace sets the records of slots, deleting all others of these slots.
func (s *store) replace(slots []chestnutcleat.Slot, records []chestnutcleat.Record) {
	in := map[chestnutcleat.Slot]bool{}
	for _, n := range slots {
		in[n] = true
	}
	keep := map[entryKey]bool{}
	for _, r := range records {
		if in[r.Slot] {
			keep[entryKey{r.Slot, r.Name}] = true
		}
	}
	for key, e := range s.entries {
		if in[key.slot] && !keep[key] && !e.Record.Deleted {
			s.put(chestnutcleat.Record{Slot: key.slot, Name: key.name, Sequence: e.Record.Sequence, Deleted: true})
		}
	}
	for _, r := range records {
		if in[r.Slot] {
			s.put(r)
		}
	}
}

// records returns the records of slots.
func (s *store) records(slots []chestnutcleat.Slot) []chestnutcleat.Record {
	in := map[chestnutcleat.Slot]bool{}
	for _, n := range slots {
		in[n] = true
	}
	return slices.DeleteFunc(recordsOf(s.entries), func(r chestnutcleat.Record) bool { return !in[r.Slot] })
}

// trim forgets deleted records that every witness knows as deleted.
func (s *store) trim(to Stamp) {
	for key, e := range s.entries {
		if e.Record.Deleted && e.Stamp <= to {
			delete(s.entries, key)
		}
	}
}

// merge keeps the newest entry of each record.
func merge(into map[entryKey]Entry, list []Entry) {
	for _, e := range list {
		if old, ok := into[e.key()]; !ok || e.Stamp > old.Stamp {
			into[e.key()] = e
		}
	}
}

// recordsOf returns the records that are not deleted, ordered by stamp.
func recordsOf(m map[entryKey]Entry) []chestnutcleat.Record {
	list := make([]Entry, 0, len(m))
	for _, e := range m {
		if !e.Record.Deleted {
			list = append(list, e)
		}
	}
	slices.SortFunc(list, func(a, b Entry) int {
		if a.Stamp < b.Stamp {
			return -1
		}
		return 1
	})
	records := make([]chestnutcleat.Record, 0, len(list))
	for _, e := range list {
		records = append(records, e.Record)
	}
	return records
}
