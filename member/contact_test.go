package member_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"chestnutcleat.example/chestnutcleat"
)

// messages returns how many messages the live VMs sent and received in a number of seconds.
func (f *fleet) messages(seconds int) int {
	total := func() (n int) {
		for id := range f.nodes {
			n += f.network.Traffic(chestnutcleat.Address("a" + id)).Messages
		}
		return n
	}
	before := total()
	pass(time.Duration(seconds) * time.Second)
	return total() - before
}

// All VMs of a large fleet asked for a lost VM every two seconds, so the traffic for one lost VM grew with the fleet.
func TestContactsOfLostVM(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const n, seconds = 60, 20
		f := newFleet(t, n, 0)
		pass(time.Minute)
		rest := f.messages(seconds)
		f.kill("030")
		pass(10 * time.Second)
		lost := f.messages(seconds)
		t.Logf("%d messages at rest, %d while a VM is lost", rest, lost)
		// About four requests every two seconds, and as much again for the spread of a random choice.
		is.True(lost-rest < 2*4*seconds/2)
	})
}

// Halves of a large fleet that were cut must find each other as fast as those of a small one.
func TestHalvesOfLargeFleet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const n = 40
		f := newFleet(t, n, 0)
		pass(time.Minute)
		each := func(do func(a, b chestnutcleat.Address)) {
			for i := range n / 2 {
				for j := n / 2; j < n; j++ {
					a, b := chestnutcleat.Address("a"+name(i)), chestnutcleat.Address("a"+name(j))
					do(a, b)
					do(b, a)
				}
			}
		}
		each(f.network.Cut)
		pass(time.Minute)
		is.Equal(f.seen("000"), n/2)
		each(f.network.Join)
		pass(8 * time.Second)
		is.True(f.agree())
	})
}
