package role

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/event"
	"chestnutcleat.example/chestnutcleat/ledger"
	"chestnutcleat.example/chestnutcleat/mirror"
	"chestnutcleat.example/chestnutcleat/peer"
	"chestnutcleat.example/chestnutcleat/place"
	"chestnutcleat.example/chestnutcleat/platform"
	"chestnutcleat.example/chestnutcleat/rate"
)

// eventList records events with their attributes as text.
type eventList []string

func (l *eventList) Emit(id chestnutcleat.EventID, attributes ...any) {
	*l = append(*l, fmt.Sprint(id, " ", fmt.Sprintln(attributes...)))
}

// of returns the recorded events of an id.
func (l eventList) of(id chestnutcleat.EventID) []string {
	return slices.DeleteFunc(slices.Clone(l), func(text string) bool { return !strings.HasPrefix(text, fmt.Sprint(id, " ")) })
}

// objectsOf returns a snapshot of objects with the given data; data that is empty stands for an object that can't be read.
func objectsOf(v chestnutcleat.Version, data map[string]string) mirror.Snapshot {
	s := mirror.Snapshot{Version: v}
	for _, name := range slices.Sorted(maps.Keys(data)) {
		o := chestnutcleat.StoredObject{Name: name, Version: v, Data: []byte(data[name])}
		if data[name] == "" {
			o.Data, o.Unreadable = nil, "spec: odd"
		}
		s.Objects = append(s.Objects, o)
	}
	return s
}

// Each version of an odd entry must be logged once with its name, in lines of bounded length, and thousands of them at once in few lines.
func TestInvalidObjectsAreReportedOnce(t *testing.T) {
	is := is.New(t)
	var events eventList
	b := &base{Observer: &events}
	changed := b.reportInvalidAfter(platform.InstanceKind, func(s mirror.Snapshot) []invalidObject {
		var list []invalidObject
		for _, o := range s.Objects {
			if _, err := platform.DecodeInstance(o); err != nil {
				list = append(list, invalidObject{o, err})
			}
		}
		return list
	})
	long := `{"state":"` + strings.Repeat("x", 1<<20) + `","address":"10.0.0.1:80"}`
	for range 3 {
		changed(objectsOf(1, map[string]string{"odd": "", "long": long}))
	}
	is.Equal(len(events), 2)
	is.True(strings.Contains(events[0]+events[1], "object odd version 1 error "))
	for _, text := range events {
		is.True(len(text) < 500)
	}
	changed(objectsOf(2, map[string]string{"odd": ""}))
	is.Equal(len(events), 3) // another version
	changed(objectsOf(3, nil))
	changed(objectsOf(3, map[string]string{"odd": ""}))
	is.Equal(len(events), 4) // gone and back
	many := map[string]string{}
	for i := range 5000 {
		many[fmt.Sprint("odd-", i)] = ""
	}
	events = nil
	for range 3 {
		changed(objectsOf(4, many))
	}
	is.Equal(len(events), 3*maxInvalidReports)
	is.Equal(len(slices.Compact(slices.Sorted(slices.Values(events)))), len(events)) // each once
}

func member(id chestnutcleat.VMID, disk string) string {
	return fmt.Sprintf(`{"vm":%q,"role":"store","address":"10.0.0.1:1","disk":%q}`, id, disk)
}

// A VM whose object becomes unreadable must stay known until the object goes: without the disk of a storage VM the replica set changed,
// and the VM itself writes its object again.
func TestUnreadableVM(t *testing.T) {
	is := is.New(t)
	var events eventList
	b := &base{Observer: &events, self: peer.Member{VM: "a"}}
	known := func(s mirror.Snapshot) []string {
		list, _ := b.members(s)
		var ids []string
		for _, m := range list {
			ids = append(ids, string(m.VM)+" "+string(m.Disk))
		}
		slices.Sort(ids)
		return ids
	}
	both := []string{"a disk-a", "b disk-b"}
	is.Equal(known(objectsOf(1, map[string]string{"vm-a": member("a", "disk-a"), "vm-b": member("b", "disk-b"), "vm-c": ""})), both)
	for i, odd := range []string{"", "null", "{}", "[]", `{"vm":7}`, member("c", "disk-c")} {
		v := chestnutcleat.Version(i + 2)
		is.Equal(known(objectsOf(v, map[string]string{"vm-a": odd, "vm-b": odd})), both)
		is.Equal(b.memberVersions, map[chestnutcleat.VMID]chestnutcleat.Version{"a": v, "b": v})
		is.Equal(b.ownObject.Version, v) // the condition under which this VM replaces it
	}
	is.Equal(known(objectsOf(9, map[string]string{"vm-a": member("a", "disk-x")})), []string{"a disk-x"})
}

// An order to empty a storage VM that can't be read must neither begin a retirement nor end one.
func TestUnreadableRetirement(t *testing.T) {
	is := is.New(t)
	s := &Store{}
	retiring := func(v mirror.Snapshot) []chestnutcleat.VMID {
		s.retirementsChanged(v)
		return s.retiring
	}
	is.Equal(retiring(objectsOf(1, map[string]string{"a": `{"duration_s":9}`, "b": ""})), []chestnutcleat.VMID{"a"})
	is.Equal(retiring(objectsOf(2, map[string]string{"a": "", "b": ""})), []chestnutcleat.VMID{"a"})
	is.Equal(len(retiring(objectsOf(3, map[string]string{"b": ""}))), 0)
	is.Equal(len(retiring(objectsOf(4, map[string]string{"a": ""}))), 0)
}

func newOddEntry(events *eventList) *Entry {
	e := &Entry{base: base{Observer: events}}
	e.limiter = rate.NewLimiter("a", time.Second)
	e.ledger = &ledger.Client{Observer: events}
	e.placement = place.NewTable()
	e.fleet = &peer.Fleet{}
	return e
}

// A configuration that becomes unreadable must not undo the known one, and is reported once.
func TestUnreadableConfiguration(t *testing.T) {
	is := is.New(t)
	var events eventList
	e := newOddEntry(&events)
	e.configChanged(objectsOf(1, map[string]string{"main": `{"version":7,"routes":[]}`, "other": ""}))
	is.Equal(e.config.Load().Number, int64(7))
	for i, odd := range []string{"", "null", "{}", "[]", `{"version":8}`, `{"version":"8","routes":[]}`} {
		for range 3 {
			e.configChanged(objectsOf(chestnutcleat.Version(i+2), map[string]string{"main": odd}))
		}
		is.Equal(e.config.Load().Number, int64(7))
		is.Equal(len(events.of(event.ConfigInvalid)), i+1)
	}
	e.configChanged(objectsOf(20, map[string]string{"main": `{"version":9,"routes":[]}`}))
	is.Equal(e.config.Load().Number, int64(9))
}

// A replica set that becomes unreadable or empty must not undo the known one.
func TestUnreadableReplicaSet(t *testing.T) {
	is := is.New(t)
	var events eventList
	e := newOddEntry(&events)
	e.fleetChanged(objectsOf(1, map[string]string{"copies": `{"version":1,"disks":[{"disk":"x","vm":"a"}]}`}))
	for i, odd := range []string{"", "null", "{}", "[]", `{"version":9}`, `{"version":9,"disks":[]}`, `{"version":9,"disks":7}`} {
		invalid := e.fleetChanged(objectsOf(chestnutcleat.Version(i+2), map[string]string{"copies": odd}))
		is.Equal(len(invalid), 1)
		set := e.ledger.ReplicaSet()
		is.Equal(set.Version, chestnutcleat.Version(1))
		is.Equal(len(set.Disks), 1)
	}
}

// Objects without a readable name must be reported, but not at each list that has them.
func TestNamelessObjectsAreReportedSometimes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var events eventList
		b := &base{Observer: &events}
		for range 250 {
			b.reportNameless("servers", "metadata: name is missing")
			b.reportNameless("fleet", "metadata: name is missing")
			time.Sleep(100 * time.Millisecond)
		}
		is.Equal(len(events), 6)
		is.True(strings.Contains(events[0], "name is missing"))
	})
}
