package control

import "time"

// timer is a pending call of Loop.After. stopped is used only in the control goroutine.
type timer struct {
	inner   *time.Timer
	stopped bool
}

// Stop prevents the call, even if it is already queued.
func (t *timer) Stop() bool {
	wasStopped := t.stopped
	t.stopped = true
	t.inner.Stop()
	return !wasStopped
}
