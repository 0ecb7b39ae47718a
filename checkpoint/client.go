package checkpoint

import (
	"context"
	"sync"
	"time"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/event"
	"chestnutcleat.example/chestnutcleat/rate"
)

const (
	// minInterval is the least time between two reports: what was used since the last one is not known after a start.
	minInterval = 100 * time.Millisecond
	// spacing bounds the reports of all VMs together: each VM sends one in spacing times the number of VMs.
	spacing = 4 * time.Millisecond
	// callTimeout bounds a call to a storage VM.
	callTimeout = 500 * time.Millisecond
	// loadRetryInterval is the time between attempts to load the last report.
	loadRetryInterval = 50 * time.Millisecond
)

// Client reports what an entry VM has used to storage VMs, and restores it after a start.
type Client struct {
	VM       chestnutcleat.VMID
	Peers    chestnutcleat.Peers
	Limiter  *rate.Limiter
	Observer chestnutcleat.Observer
	// Stores returns the addresses of the storage VMs that keep this VM's reports.
	Stores func() []chestnutcleat.Address
	// VMs returns the number of VMs that report.
	VMs func() int
}

// Run restores the last report and then reports until ctx is done.
func (c *Client) Run(ctx context.Context) error {
	c.restore(ctx)
	idle := true
	for chestnutcleat.Sleep(ctx, max(minInterval, time.Duration(c.VMs())*spacing)) == nil {
		usage := c.Limiter.Usage()
		if len(usage) == 0 && idle {
			continue
		}
		idle = len(usage) == 0
		c.save(ctx, Report{VM: c.VM, At: time.Now(), Usage: usage})
	}
	return nil
}

// save sends a report to all storage VMs that keep it, and waits until they have answered or callTimeout has passed.
func (c *Client) save(ctx context.Context, r Report) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var calls sync.WaitGroup
	for _, a := range c.Stores() {
		calls.Go(func() {
			var reply saveReply
			// A report that is lost is replaced by the next one.
			_ = c.Peers.Call(ctx, a, methodSave, r, &reply)
		})
	}
	calls.Wait()
}

// restore loads the newest report of the process before, for as long as it matters.
func (c *Client) restore(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, c.Limiter.Window)
	defer cancel()
	for chestnutcleat.Sleep(ctx, loadRetryInterval) == nil {
		newest, answered := c.load(ctx)
		if !answered {
			continue
		}
		age := max(0, time.Since(newest.At.Round(0)))
		if newest.VM != c.VM || age > c.Limiter.Window {
			return
		}
		c.Limiter.Restore(newest.Usage, age)
		c.Observer.Emit(event.UsageRestored, "customers", len(newest.Usage), "before", age.Seconds())
		return
	}
}

// load returns the newest report that storage VMs have of this VM, and whether any of them answered.
func (c *Client) load(ctx context.Context) (newest Report, answered bool) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var mu sync.Mutex
	var calls sync.WaitGroup
	for _, a := range c.Stores() {
		calls.Go(func() {
			var r Report
			if err := c.Peers.Call(ctx, a, methodLoad, loadRequest{VM: c.VM}, &r); err != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			answered = true
			if r.At.After(newest.At) {
				newest = r
			}
		})
	}
	calls.Wait()
	return newest, answered
}
