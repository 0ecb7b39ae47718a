package member_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"chestnutcleat.example/chestnutcleat"
)

// messageCount returns how many messages the live VMs send and receive in a number of seconds.
func (f *fleet) messageCount(seconds int) int {
	total := func() (n int) {
		for id := range f.nodes {
			n += f.network.Traffic(chestnutcleat.Address("a" + id)).Messages
		}
		return n
	}
	before := total()
	advance(time.Duration(seconds) * time.Second)
	return total() - before
}

// Attempts to contact a lost VM must not grow with the fleet, as they do if each VM of a large fleet tries every two seconds.
func TestContactsOfLostVM(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const n, seconds = 60, 20
		f := newFleet(t, n, 0)
		advance(time.Minute)
		rest := f.messageCount(seconds)
		f.kill("030")
		advance(10 * time.Second)
		lost := f.messageCount(seconds)
		t.Logf("%d messages at rest, %d while a VM is lost", rest, lost)
		// About four requests every two seconds, doubled to allow for random variation.
		is.True(lost-rest < 2*4*seconds/2)
	})
}

// After a partition into halves, a large fleet must reunite as fast as a small one.
func TestHalvesOfLargeFleet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const n = 40
		f := newFleet(t, n, 0)
		advance(time.Minute)
		each := func(do func(a, b chestnutcleat.Address)) {
			for i := range n / 2 {
				for j := n / 2; j < n; j++ {
					a, b := chestnutcleat.Address("a"+vmID(i)), chestnutcleat.Address("a"+vmID(j))
					do(a, b)
					do(b, a)
				}
			}
		}
		each(f.network.Block)
		advance(time.Minute)
		is.Equal(f.listedBy("000"), n/2)
		each(f.network.Unblock)
		advance(8 * time.Second)
		is.True(f.allAgree())
	})
}
