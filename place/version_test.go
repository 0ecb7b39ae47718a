package place

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"chestnutcleat.example/chestnutcleat"
)

func versioned(versions ...chestnutcleat.SoftwareVersion) []chestnutcleat.Instance {
	list := instances(len(versions))
	for i := range list {
		list[i].Version = versions[i]
	}
	return list
}

// A request that is bound to a software version must go to no other one, not even if that is the last instance left. A registration
// without a version is a version of its own.
func TestPickVersion(t *testing.T) {
	is := is.New(t)
	table := NewTable()
	list := versioned("v1", "v2", "v1", "")
	table.SetInstances(list)
	for _, key := range []string{"", "p"} {
		for version, want := range map[chestnutcleat.SoftwareVersion][]chestnutcleat.InstanceID{"v1": {"i0", "i2"}, "v2": {"i1"}, "": {"i3"}, "v3": nil} {
			var tried []chestnutcleat.InstanceID
			for range want {
				a := table.Pick(Request{Service: "s", Key: key, Version: &version, Exclude: tried})
				is.Equal(a.Version, version)
				tried = append(tried, a.ID)
				a.End(ConnectionError)
			}
			is.True(table.Pick(Request{Service: "s", Key: key, Version: &version, Exclude: tried}) == nil)
		}
	}
	list[1].Leaving = true
	table.SetInstances(list)
	version := chestnutcleat.SoftwareVersion("v2")
	is.True(table.Pick(Request{Service: "s", Version: &version}) == nil)
}

// An instance whose registration changed since it was picked may have another software version than the one that was looked for; one
// whose registration is gone still serves.
func TestAssignmentCurrent(t *testing.T) {
	for name, c := range map[string]struct {
		change func(*chestnutcleat.Instance)
		want   bool
	}{
		"same":    {func(*chestnutcleat.Instance) {}, true},
		"leaving": {func(i *chestnutcleat.Instance) { i.Leaving = true }, true},
		"version": {func(i *chestnutcleat.Instance) { i.Version = "v2" }, false},
		"started": {func(i *chestnutcleat.Instance) { i.StartedAt++ }, false},
		"address": {func(i *chestnutcleat.Instance) { i.Address = "elsewhere" }, false},
		"service": {func(i *chestnutcleat.Instance) { i.Service = "other" }, false},
		"removed": {func(i *chestnutcleat.Instance) { i.ID = "new" }, true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			table := NewTable()
			table.SetInstances(versioned("v1"))
			a := table.Pick(Request{Service: "s"})
			list := versioned("v1")
			c.change(&list[0])
			table.SetInstances(list)
			is.Equal(a.Current(), c.want)
		})
	}
}

// The registrations must not name the version of an unknown stream before they have been followed for long enough, nor if another
// version was registered within that time.
func TestOnlyVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const within = time.Minute
		table := NewTable()
		only := func() string {
			v, ok := table.OnlyVersion("s", within)
			if !ok {
				return "unknown"
			}
			return string(v)
		}
		time.Sleep(2 * within)
		is.Equal(only(), "unknown") // no list yet
		table.RestartVersionHistory()
		table.SetInstances(versioned("v1", "v1"))
		is.Equal(only(), "unknown") // a start
		time.Sleep(within)
		is.Equal(only(), "v1")
		table.SetInstances(versioned("v1", "v2"))
		is.Equal(only(), "unknown")
		time.Sleep(2 * within)
		is.Equal(only(), "unknown") // both serve
		table.SetInstances(versioned("v2"))
		is.Equal(only(), "unknown") // v1 has just left
		time.Sleep(versionMemory)
		is.Equal(only(), "unknown")
		time.Sleep(time.Second)
		is.Equal(only(), "v2")
		table.RestartVersionHistory()
		is.Equal(only(), "unknown") // registrations may have been missed
		time.Sleep(within)
		is.Equal(only(), "v2")
		table.SetInstances(nil)
		time.Sleep(versionMemory + time.Second)
		is.Equal(only(), "unknown") // none
		_, ok := table.OnlyVersion("s", versionMemory+1)
		is.True(!ok)
	})
}

// Another version must count as long as it is remembered, however short this VM has followed the registrations.
func TestOtherVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		table := NewTable()
		is.True(!table.OtherVersion("s", "v1"))
		table.SetInstances(versioned("v1", "v2"))
		is.True(table.OtherVersion("s", "v1"))
		is.True(!table.OtherVersion("other", "v1"))
		table.SetInstances(versioned("v1"))
		is.True(table.OtherVersion("s", "v1")) // v2 has just left
		time.Sleep(versionMemory)
		is.True(table.OtherVersion("s", "v1"))
		time.Sleep(time.Second)
		is.True(!table.OtherVersion("s", "v1"))
		is.True(table.OtherVersion("s", "v2"))
	})
}

// The registration of an instance that could not be reached must name no version again before a new one had the time to arrive, for which
// the platform must answer.
func TestUncertainRegistration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		table := NewTable()
		table.SetInstances(versioned("v1"))
		version := chestnutcleat.SoftwareVersion("v1")
		pick := func(r Request) *Assignment {
			r.Service = "s"
			a := table.Pick(r)
			if a != nil {
				a.End(Neutral)
			}
			return a
		}
		certain := func() bool {
			a := pick(Request{})
			is.Equal(pick(Request{Version: &version}) != nil, !a.Uncertain)
			is.Equal(pick(Request{Certain: true}) != nil, !a.Uncertain)
			return !a.Uncertain
		}
		time.Sleep(time.Minute)
		is.True(certain())
		pick(Request{}).Unreached()
		time.Sleep(time.Minute)
		is.True(!certain()) // it has not answered
		pick(Request{}).Answered()
		time.Sleep(renewalTime - time.Nanosecond)
		is.True(!certain())
		table.RestartVersionHistory()
		time.Sleep(renewalTime - time.Nanosecond)
		is.True(!certain()) // the platform did not answer for a while
		pick(Request{}).Answered()
		time.Sleep(time.Nanosecond)
		is.True(certain())
		pick(Request{}).Unreached()
		is.True(!certain())
		list := versioned("v2")
		list[0].StartedAt = 9
		table.SetInstances(list)
		version = "v2"
		is.True(certain()) // it is registered anew
	})
}
