package mirror

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"chestnutcleat.example/chestnutcleat"
)

// setUnreadable writes an object that can't be read. Its version is zero if that can't be read either.
func (p *fakePlatform) setUnreadable(name string, versionReadable bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.version++
	o := chestnutcleat.StoredObject{Name: name, Unreadable: "odd"}
	if versionReadable {
		o.Version = p.version
	}
	p.objects[name] = o
	// The history needs the version to tell which watches get the change.
	p.history = append(p.history, change{object: o, version: p.version})
}

// unreadable returns the names of the objects that can't be read.
func unreadable(m *Mirror) []string {
	list := []string{}
	for _, o := range m.SnapshotSince(0).Objects {
		if o.Unreadable != "" {
			list = append(list, o.Name)
		}
	}
	return list
}

// An object that becomes unreadable must replace what was known of it, by a watch, by a list and at VMs that copy it, also if its
// version can't be read: requests went on to an instance whose entry was overwritten.
func TestObjectBecomesUnreadable(t *testing.T) {
	for _, versionReadable := range []bool{true, false} {
		for _, listed := range []bool{true, false} {
			t.Run(fmt.Sprintf("version readable %t, listed %t", versionReadable, listed), func(t *testing.T) {
				runWithPlatform(t, func(t *testing.T, is *is.I, p *fakePlatform) {
					p.set("a")
					p.set("b")
					m, seen := runMirror(t, p)
					time.Sleep(time.Second)
					other := &Mirror{Kind: "k"}
					other.Merge(m.SnapshotSince(0))
					if listed {
						p.withLock(func(p *fakePlatform) { p.watchesStalled = true })
					}
					p.setUnreadable("a", versionReadable)
					if listed {
						is.NoErr(m.Refresh(t.Context()))
					}
					time.Sleep(time.Second)
					is.Equal(unreadable(m), []string{"a"})
					other.Merge(m.SnapshotSince(other.Version()))
					is.Equal(unreadable(other), []string{"a"})
					p.withLock(func(p *fakePlatform) { p.watchesStalled = false })
					p.delete("a")
					time.Sleep(time.Second)
					is.Equal(seen(), []string{"b"})
					other.Merge(m.SnapshotSince(other.Version()))
					is.Equal(names(other.SnapshotSince(0)), []string{"b"})
				})
			})
		}
	}
}

// readable are the objects that can be read in the tests below.
var readable = []string{"a", "b", "c", "d"}

// runAmongUnreadable deletes objects among readable and 100 unreadable ones, learns of it by a watch and by a list, and passes on the names
// of the objects that a mirror then reports.
func runAmongUnreadable(t *testing.T, remove func(p *fakePlatform, odd []string), check func(is *is.I, seen []string)) {
	for _, learn := range []string{"watch", "list"} {
		t.Run(learn, func(t *testing.T) {
			runWithPlatform(t, func(t *testing.T, is *is.I, p *fakePlatform) {
				for _, name := range readable {
					p.set(name)
				}
				var odd []string
				for i := range 100 {
					odd = append(odd, fmt.Sprint("odd-", i))
					p.setUnreadable(odd[i], true)
				}
				m, seen := runMirror(t, p)
				time.Sleep(time.Second)
				p.withLock(func(p *fakePlatform) { p.watchesStalled = learn == "list" })
				remove(p, odd)
				if learn == "list" {
					is.NoErr(m.Refresh(t.Context()))
				}
				time.Sleep(500 * time.Millisecond)
				check(is, seen())
			})
		})
	}
}

// Many unreadable objects must not hide that the platform lost the readable ones.
func TestUnreadableObjectsDoNotHideMassDeletion(t *testing.T) {
	runAmongUnreadable(t, func(p *fakePlatform, _ []string) {
		for _, name := range readable[:3] {
			p.delete(name)
		}
	}, func(is *is.I, seen []string) { is.Equal(seen[:4], readable) })
}

// The removal of many unreadable objects must not look like a mass deletion: an instance that left with them would get requests for
// another outageRetention.
func TestUnreadableObjectsAreNoMassDeletion(t *testing.T) {
	runAmongUnreadable(t, func(p *fakePlatform, odd []string) {
		p.delete(readable[0])
		for _, name := range odd {
			p.delete(name)
		}
	}, func(is *is.I, seen []string) { is.Equal(seen, readable[1:]) })
}
