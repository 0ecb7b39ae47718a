package node_test

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"chestnutcleat.example/chestnutcleat"
)

// TestWeightStoreRate guards against loads from the weight store above its rate limit when many engines with different
// owners start at once, also when the VM that owns the token bucket is lost, and against engines that never load their
// model.
func TestWeightStoreRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const rate, burst, count = 0.1, 2, 16
		is := is.New(t)
		e := newFakeEngines()
		f := newFleetWithTransport(t, 5, 1, 0, e)
		defer f.stop()
		m := testManifest()
		m.Revision = 1
		m.Customers = append(m.Customers, chestnutcleat.Customer{ID: "weight-store", Rate: rate, Burst: burst})
		for i := range count {
			u := m.Upstreams[0]
			u.ID = chestnutcleat.UpstreamID(fmt.Sprint("n", i))
			u.Address = chestnutcleat.Address(fmt.Sprintf("10.2.0.%d:80", i+1))
			u.Models = []chestnutcleat.ModelName{"small"}
			m.Upstreams = append(m.Upstreams, u)
		}
		f.apply(0, m)
		time.Sleep(time.Minute)
		for i, n := range f.nodes {
			if n.Self.ID == f.nodes[(i+1)%len(f.nodes)].Place(chestnutcleat.CustomerKey("weight-store")).VM {
				f.kill(i)
				break
			}
		}
		time.Sleep(10 * time.Minute)
		loads := e.loads("10.2.")
		t.Logf("%d loads in %s", len(loads), loads[len(loads)-1].Sub(loads[0]))
		is.Equal(len(loads), count)
		for i := range loads {
			for k := i; k < len(loads); k++ {
				// An order follows its admission within a few milliseconds.
				window := loads[k].Sub(loads[i]).Seconds() + 0.1
				is.True(float64(k-i+1) <= burst+rate*window)
			}
		}
		is.True(slices.IsSortedFunc(loads, time.Time.Compare))
	})
}
