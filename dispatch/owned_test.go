package dispatch_test

import (
	"testing"

	"chestnutcleat.example/chestnutcleat"
)

// Guards against an upstream that grants no tickets after a handover that failed.
func TestResumeAfterExport(t *testing.T) {
	run(t, func(x *fixture) {
		slot := chestnutcleat.UpstreamKey(up).Slot()
		x.acquire("first", nil)
		x.acquire("queued", nil)
		x.do(func() { x.book.Export(slot) })
		x.release("first", nil)
		x.True(x.replies["queued"].Ticket == nil)
		x.do(func() { x.book.Resume(slot) })
		x.True(x.replies["queued"].Ticket != nil)
		x.acquire("next", nil)
		x.release("queued", nil)
		x.True(x.replies["next"].Ticket != nil)
	})
}
