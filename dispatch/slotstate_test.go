package dispatch_test

import (
	"testing"
	"testing/synctest"
	"time"

	"chestnutcleat.example/chestnutcleat"
)

// Guards against an upstream that never grants a ticket again after a failed handover, and against grants by this VM
// while the handover is in progress.
func TestFailedHandover(t *testing.T) {
	run(t, func(x *fixture) {
		owns := true
		x.scheduler.Owns = func(chestnutcleat.UpstreamID) bool { return owns }
		x.acquire("first", nil)
		x.do(func() {
			x.scheduler.Export(chestnutcleat.UpstreamKey(upstreamID).Slot())
			owns = false
		})
		x.release("first", nil)
		x.acquire("second", nil)
		time.Sleep(time.Second)
		synctest.Wait()
		x.True(x.replies["second"].Ticket == nil)
		x.do(func() { owns = true })
		time.Sleep(time.Second)
		synctest.Wait()
		x.True(x.replies["second"].Ticket != nil)
	})
}

// Guards against orders from a VM whose lease expired while its process was paused.
func TestNoOrdersWithoutLease(t *testing.T) {
	run(t, func(x *fixture) {
		x.config.Models = []chestnutcleat.ModelName{"a"}
		owns := false
		x.scheduler.Owns = func(chestnutcleat.UpstreamID) bool { return owns }
		x.do(func() { x.scheduler.Track(upstreamID) })
		time.Sleep(2 * time.Minute)
		synctest.Wait()
		x.engine.set(func() { x.Equal(len(x.engine.orders), 0) })
		x.do(func() { owns = true })
		time.Sleep(time.Minute)
		synctest.Wait()
		x.engine.set(func() { x.Equal(len(x.engine.orders), 1) })
	})
}

// Guards against an upstream that grants no tickets after Resume.
func TestResumeAfterExport(t *testing.T) {
	run(t, func(x *fixture) {
		slot := chestnutcleat.UpstreamKey(upstreamID).Slot()
		x.acquire("first", nil)
		x.acquire("queued", nil)
		x.do(func() { x.scheduler.Export(slot) })
		x.release("first", nil)
		x.True(x.replies["queued"].Ticket == nil)
		x.do(func() { x.scheduler.Resume(slot) })
		x.True(x.replies["queued"].Ticket != nil)
		x.acquire("next", nil)
		x.release("queued", nil)
		x.True(x.replies["next"].Ticket != nil)
	})
}
