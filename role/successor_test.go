package role_test

import (
	"encoding/json"
	"net/http"
	"testing"

	"github.com/matryer/is"
)

// A VM that leaves must not write its object over that of a process that has taken its name at another address: each would undo the
// other's announcement every second, and others would send to the address that is about to close.
func TestLeavingVMYieldsToSuccessor(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 1, func(w http.ResponseWriter, r *http.Request) { answer(w, r) })
	const kind, name = "fleet", "vm-e0"
	var successor map[string]any
	f.eventually("the VM is announced", func() bool {
		data, ok := f.platform.Get(kind, name)
		return ok && json.Unmarshal(data, &successor) == nil
	})
	leaving := f.entries[0]
	close(leaving.stop)
	f.eventually("the VM is not ready", func() bool { return !leaving.ready() })
	successor["domain"] = "of the successor"
	f.platform.Set(kind, name, successor)
	written, _ := f.platform.Get(kind, name)
	is.NoErr(<-leaving.ended)
	data, ok := f.platform.Get(kind, name)
	is.True(ok)
	is.Equal(string(data), string(written))
}
