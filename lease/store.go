package lease

import (
	"slices"
	"sort"

	"chestnutcleat.example/chestnutcleat"
)

// indexCounterBits is the number of bits of a LogIndex below the epoch.
const indexCounterBits = 32

// store holds the newest entry of each of an owner's records.
type store struct {
	lastIndex LogIndex
	entries   map[entryKey]Entry
	// log lists the keys by ascending index; readers skip superseded items.
	log []logItem
}

type logItem struct {
	index LogIndex
	key   entryKey
}

func newStore(e chestnutcleat.Epoch) *store {
	return &store{lastIndex: LogIndex(e) << indexCounterBits, entries: map[entryKey]Entry{}}
}

func (s *store) put(r chestnutcleat.Record) {
	s.lastIndex++
	e := Entry{Index: s.lastIndex, Record: r}
	s.entries[e.key()] = e
	s.log = append(s.log, logItem{e.Index, e.key()})
	if len(s.log) > 2*len(s.entries)+64 {
		s.log = slices.DeleteFunc(s.log, func(l logItem) bool { return s.entries[l.key].Index != l.index })
	}
}

// entriesAfter returns the entries with an index above from.
func (s *store) entriesAfter(from LogIndex) []Entry {
	i := sort.Search(len(s.log), func(i int) bool { return s.log[i].index > from })
	var list []Entry
	for _, l := range s.log[i:] {
		if e := s.entries[l.key]; e.Index == l.index {
			list = append(list, e)
		}
	}
	return list
}

// replaceSlots replaces all records of slots.
func (s *store) replaceSlots(slots []chestnutcleat.Slot, records []chestnutcleat.Record) {
	inSlots := map[chestnutcleat.Slot]bool{}
	for _, n := range slots {
		inSlots[n] = true
	}
	keep := map[entryKey]bool{}
	for _, r := range records {
		if inSlots[r.Slot] {
			keep[entryKey{r.Slot, r.Name}] = true
		}
	}
	for key, e := range s.entries {
		if inSlots[key.slot] && !keep[key] && !e.Record.Deleted {
			s.put(chestnutcleat.Record{Slot: key.slot, Name: key.name, Sequence: e.Record.Sequence, Deleted: true})
		}
	}
	for _, r := range records {
		if inSlots[r.Slot] {
			s.put(r)
		}
	}
}

// records returns the records of slots.
func (s *store) records(slots []chestnutcleat.Slot) []chestnutcleat.Record {
	inSlots := map[chestnutcleat.Slot]bool{}
	for _, n := range slots {
		inSlots[n] = true
	}
	return slices.DeleteFunc(recordsOf(s.entries), func(r chestnutcleat.Record) bool { return !inSlots[r.Slot] })
}

// trimDeleted removes the tombstones of deleted records up to an index.
func (s *store) trimDeleted(to LogIndex) {
	for key, e := range s.entries {
		if e.Record.Deleted && e.Index <= to {
			delete(s.entries, key)
		}
	}
}

// merge keeps the newest entry of each record.
func merge(into map[entryKey]Entry, list []Entry) {
	for _, e := range list {
		if old, ok := into[e.key()]; !ok || e.Index > old.Index {
			into[e.key()] = e
		}
	}
}

// recordsOf returns the records that are not deleted, ordered by index.
func recordsOf(m map[entryKey]Entry) []chestnutcleat.Record {
	list := make([]Entry, 0, len(m))
	for _, e := range m {
		if !e.Record.Deleted {
			list = append(list, e)
		}
	}
	slices.SortFunc(list, func(a, b Entry) int {
		if a.Index < b.Index {
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
