package dispatch

import (
	"math/rand/v2"
	"strconv"
	"time"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/event"
)

const (
	// ticketMargin is the grace period between a request's timeout and the expiry of its ticket.
	ticketMargin = 5 * time.Second
	// sweepInterval is the interval of Sweep.
	sweepInterval = 250 * time.Millisecond
	// replyLifetime is how long a reply is kept for retries with the same request id.
	replyLifetime = time.Minute
	// engineTimeout is the timeout of one control request to an engine.
	engineTimeout = 5 * time.Second
)

// Scheduler holds the queues, tickets and cache indexes of the upstreams that this VM owns.
type Scheduler struct {
	Loop     chestnutcleat.Loop
	Upstream func(chestnutcleat.UpstreamID) (chestnutcleat.Upstream, bool)
	// Epoch returns the epoch of this VM's lease; nil means epoch 0.
	Epoch func() chestnutcleat.Epoch
	// Owns reports whether this VM holds a valid lease that covers the upstream. It is checked before each order, since
	// no request whose ownership was already checked precedes an order. Nil means always.
	Owns func(chestnutcleat.UpstreamID) bool
	// Engine returns the control client of an engine, or nil for a service.
	Engine   func(chestnutcleat.UpstreamID) chestnutcleat.Engine
	Observer chestnutcleat.Observer
	Policy   Policy
	Rand     *rand.Rand
	// AdmitLoad asks the rate limit of the weight store for permission to load one model; nil means no limit.
	AdmitLoad func(done func(bool))
	// LeaseDuration plus OrderDelay is the longest time for which an order of a previous owner may still take effect.
	LeaseDuration time.Duration
	OrderDelay    time.Duration

	upstreams map[chestnutcleat.UpstreamID]*upstream
	// lostSlots is the set of slots whose previous owner failed without a handover.
	lostSlots  map[chestnutcleat.Slot]bool
	sequence   uint64
	timer      chestnutcleat.Timer
	sweepCount int
}

var _ chestnutcleat.SlotState = (*Scheduler)(nil)

// Start starts the periodic sweep and returns immediately.
func (b *Scheduler) Start() {
	b.Sweep()
	b.timer = b.Loop.After(sweepInterval, b.Start)
}

// Stop ends the periodic sweep.
func (b *Scheduler) Stop() {
	if b.timer != nil {
		b.timer.Stop()
	}
}

// Track creates the state of upstreams whose slots this VM owns, so that polling, orders and load reports start before
// the first request. It is called after Import and for each new manifest.
func (b *Scheduler) Track(ids ...chestnutcleat.UpstreamID) {
	for _, id := range ids {
		b.upstream(id)
	}
}

// Acquire requests a ticket and calls done exactly once. A request whose id is already queued joins the queued one; one
// that was answered within replyLifetime gets the same reply.
func (b *Scheduler) Acquire(r chestnutcleat.AcquireRequest, done func(chestnutcleat.AcquireReply)) {
	now := time.Now()
	u, ok := b.upstream(r.Upstream)
	if !ok {
		done(chestnutcleat.AcquireReply{ChooseAgain: true})
		return
	}
	if old, ok := u.replies[r.ID]; ok && r.ID != "" {
		done(old.reply)
		return
	}
	if w, ok := u.waiting[r.ID]; ok && r.ID != "" {
		w.callbacks = append(w.callbacks, done)
		return
	}
	w := &request{AcquireRequest: r, level: r.Level, index: -1}
	if u.queue.fifo {
		w.level = 0
	}
	w.callbacks = []func(chestnutcleat.AcquireReply){done}
	b.sequence++
	w.sequence = b.sequence
	if u.unavailable() {
		u.reply(w, chestnutcleat.AcquireReply{ChooseAgain: true}, now)
		return
	}
	cached := min(r.Prompt, u.cache.expectedTokens(r.History, now))
	w.cost = estimate(&u.config, r.Prompt, cached, r.Output)
	if p := u.checkDeadline(w, now); p != nil {
		u.reply(w, chestnutcleat.AcquireReply{Problem: p}, now)
		return
	}
	u.enqueue(w)
	b.grantQueued(u)
	if w.index >= 0 && !r.Deadline.IsZero() {
		w.timer = b.Loop.After(r.Deadline.Sub(now), func() { b.expireRequest(u, w) })
	}
}

// Cancel removes a queued request. A granted ticket must be returned with Release instead.
func (b *Scheduler) Cancel(id chestnutcleat.RequestID) {
	now := time.Now()
	for _, u := range b.upstreams {
		w, ok := u.waiting[id]
		if !ok {
			continue
		}
		u.queue.remove(w)
		p := chestnutcleat.NewProblem(chestnutcleat.CodeInterrupted, chestnutcleat.NotRun, "the request was cancelled while queued")
		u.reply(w, chestnutcleat.AcquireReply{Problem: p}, now)
		return
	}
}

// Release returns a ticket. An unknown ticket, which has expired or was granted by a previous owner, only updates the
// cache index.
func (b *Scheduler) Release(r chestnutcleat.ReleaseRequest) {
	u, ok := b.upstream(r.Ticket.Upstream)
	if !ok {
		return
	}
	now := time.Now()
	t, known := u.tickets[r.Ticket.ID]
	if known {
		u.removeTicket(t)
	}
	switch {
	case r.NotSent:
	case r.Failed || r.Crashed:
		if known {
			b.recordFailure(u, r.Crashed)
		}
	default:
		b.recordUsage(u, t, r, now)
		if known && u.breaker.recordSuccess(u.config.Slots) {
			b.emit(event.UpstreamUp, "upstream", u.config.ID)
		}
	}
	b.grantQueued(u)
}

// recordUsage updates the cache index and the run time estimate from a finished request.
func (b *Scheduler) recordUsage(u *upstream, t *ticket, r chestnutcleat.ReleaseRequest, now time.Time) {
	if t != nil {
		if r.Usage.Cached < t.cached/2 {
			u.cache.correct(t.request.History, r.Usage.Cached)
			u.cache.add(t.request.History, r.Usage.Prompt, now)
			b.emit(event.CachePredictionMissed, "upstream", u.config.ID, "expected", t.cached, "found", r.Usage.Cached)
		}
		u.updateRunTimeRatio(t.cost, r.Elapsed)
	}
	u.cache.add(r.History, r.Usage.Total(), now)
}

// grantQueued grants tickets to queued requests while the upstream has free slots.
func (b *Scheduler) grantQueued(u *upstream) {
	now := time.Now()
	for u.freeSlots() > 0 {
		w := u.queue.next(u.onlyReservedSlotFree(), u.mayRun)
		if w == nil {
			return
		}
		if !w.Deadline.IsZero() && !now.Before(w.Deadline) {
			u.reply(w, chestnutcleat.AcquireReply{Problem: deadlineProblem()}, now)
			continue
		}
		b.grant(u, w, now)
	}
}

func (b *Scheduler) grant(u *upstream, w *request, now time.Time) {
	b.sequence++
	epoch := b.epoch()
	id := string(u.config.ID) + "-" + strconv.FormatUint(uint64(epoch), 36) + "-" + strconv.FormatUint(b.sequence, 36)
	timeout := w.Timeout
	if timeout <= 0 {
		timeout = chestnutcleat.DefaultCallTimeout
	}
	known := u.cache.longestPrefix(w.History)
	t := &ticket{
		Ticket: chestnutcleat.Ticket{
			ID:       chestnutcleat.TicketID(id),
			Upstream: u.config.ID,
			Epoch:    epoch,
			Expiry:   now.Add(timeout + ticketMargin),
		},
		request: w,
		cached:  min(w.Prompt, known.expectedTokens(now)),
		granted: now,
	}
	t.cost = estimate(&u.config, w.Prompt, t.cached, w.Output)
	u.addTicket(t)
	u.cache.addAfter(known, w.History, w.Prompt, now)
	out := t.Ticket
	u.reply(w, chestnutcleat.AcquireReply{Ticket: &out, Priority: int(w.level)}, now)
}

// expireRequest rejects a request that is still queued at its deadline.
func (b *Scheduler) expireRequest(u *upstream, w *request) {
	if w.index < 0 {
		return
	}
	u.queue.remove(w)
	b.emit(event.RequestExpired, "upstream", u.config.ID, "customer", w.Customer)
	u.reply(w, chestnutcleat.AcquireReply{Problem: deadlineProblem()}, time.Now())
}

func deadlineProblem() *chestnutcleat.Problem {
	return chestnutcleat.NewProblem(chestnutcleat.CodeDeadline, chestnutcleat.NotRun, "the deadline passed while the request was queued")
}

// Loads returns the load summaries of the owned upstreams for gossip.
func (b *Scheduler) Loads() []chestnutcleat.Load {
	out := make([]chestnutcleat.Load, 0, len(b.upstreams))
	for _, u := range b.upstreams {
		out = append(out, u.load(b.epoch()))
	}
	return out
}

// upstream returns the state of an upstream and creates it on first use; it returns false if the manifest does not list
// the upstream.
func (b *Scheduler) upstream(id chestnutcleat.UpstreamID) (*upstream, bool) {
	if u, ok := b.upstreams[id]; ok {
		return u, true
	}
	c, ok := b.Upstream(id)
	if !ok {
		return nil, false
	}
	u := newUpstream(c, b.Policy != PolicySticky)
	if b.Engine != nil {
		u.engine = b.Engine(id)
	}
	if b.lostSlots[chestnutcleat.UpstreamKey(id).Slot()] {
		u.ownerLost = true
		u.breaker.rampLimit = 1
	}
	if b.upstreams == nil {
		b.upstreams = make(map[chestnutcleat.UpstreamID]*upstream)
	}
	b.upstreams[id] = u
	return u, true
}

func (b *Scheduler) epoch() chestnutcleat.Epoch {
	if b.Epoch == nil {
		return 0
	}
	return b.Epoch()
}

func (b *Scheduler) emit(id chestnutcleat.EventID, attributes ...any) {
	if b.Observer != nil {
		b.Observer.Emit(id, attributes...)
	}
}

// Cached returns the estimated number of tokens of a history in the prefix cache of an owned upstream.
func (b *Scheduler) Cached(id chestnutcleat.UpstreamID, history []chestnutcleat.Digest) chestnutcleat.Tokens {
	u, ok := b.upstreams[id]
	if !ok {
		return 0
	}
	return u.cache.expectedTokens(history, time.Now())
}
