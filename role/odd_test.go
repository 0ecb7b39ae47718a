package role_test

import (
	"fmt"
	"maps"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"chestnutcleat.example/chestnutcleat/standin/store"
)

// maxOddEntry bounds the size of odd entries, in bytes, as the race detector makes the transfer of large ones slow.
const maxOddEntry = 100 << 10

// setOddEntries writes odd entries among the objects of all kinds.
func setOddEntries(s *store.Store) {
	entries := store.OddEntries()
	maps.DeleteFunc(entries, func(_, entry string) bool { return len(entry) > maxOddEntry })
	for i, odd := range slices.Sorted(maps.Keys(entries)) {
		for _, kind := range store.Kinds() {
			s.SetEntry(kind, fmt.Sprint("odd-", i), entries[odd])
		}
	}
}

// VMs must go on to follow the instances, the configuration and each other while odd entries stand in all lists: the VMs that read such
// a list stopped following it.
func TestOddEntriesWhileRunning(t *testing.T) {
	f := newFleet(t, 2, answer)
	setOddEntries(f.platform)
	checkFollows(t, f)
	for _, name := range []string{"vm-e0", "vm-s1"} {
		f.platform.SetEntry("fleet", name, `{"metadata":{"name":"NAME","revision":REVISION},"spec":`+strings.Repeat("[", 20_000)+strings.Repeat("]", 20_000)+`}`)
	}
	for _, name := range []string{"vm-e0", "vm-s1"} {
		f.eventually(name+" wrote its object again", func() bool {
			spec, ok := f.platform.Get("fleet", name)
			return ok && len(spec) > 0
		})
	}
}

// VMs must start and follow the platform while odd entries stand in all lists.
func TestOddEntriesBeforeStart(t *testing.T) {
	checkFollows(t, newFleet(t, 2, answer, setOddEntries))
}

// checkFollows checks that all VMs use a new instance in place of one that is deleted and one whose entry becomes odd.
func checkFollows(t *testing.T, f *fleet) {
	is := is.New(t)
	var reached atomic.Int64
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		reached.Add(1)
		answer(w, r)
	}))
	t.Cleanup(s.Close)
	f.platform.Set("servers", "i-new", map[string]any{
		"service": "tool", "address": strings.TrimPrefix(s.URL, "http://"), "zone": "a", "version": "v1", "slots": 32, "state": "ready", "born": 1,
	})
	f.platform.Delete("servers", "i-0")
	f.platform.SetEntry("servers", "i-1", `{"metadata":{"name":"NAME","revision":REVISION},"spec":7}`)
	for i, e := range f.entries {
		f.eventually(fmt.Sprint("VM ", i, " is ready"), e.ready)
		c := newCaller(f, i, true)
		c.list, c.resolvedAt = []string{string(e.settings.Listen.Callers)}, time.Now().Add(time.Hour)
		inRow, n := 0, 0
		f.eventually(fmt.Sprint("VM ", i, " uses only the new instance"), func() bool {
			before := reached.Load()
			n++
			is.NoErr(c.send(t.Context(), fmt.Sprintf("r%d-%d", i, n)))
			inRow++
			if reached.Load() == before {
				inRow = 0
			}
			return inRow > 20
		})
		c.client.CloseIdleConnections()
	}
}
