package dispatch

import (
	"math/rand/v2"
	"strconv"
	"time"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/event"
)

const (
	// ticketMargin is how long after a request's timeout its ticket may come back.
	ticketMargin = 5 * time.Second
	// sweepInterval is how often expired tickets and changed upstreams are looked for.
	sweepInterval = 250 * time.Millisecond
	// replyLifetime is how long a repeated request gets the same reply.
	replyLifetime = time.Minute
	// engineTimeout bounds one control request to an engine.
	engineTimeout = 5 * time.Second
)

// Book holds the queues, tickets and cache indexes of the upstreams that this VM owns.
type Book struct {
	Loop     chestnutcleat.Loop
	Upstream func(chestnutcleat.UpstreamID) (chestnutcleat.Upstream, bool)
	// Epoch returns the epoch of this VM's lease.
	Epoch func() chestnutcleat.Epoch
	// Owns tells whether this VM's lease is valid and covers the upstream; orders are issued only then, as they follow
	// no request that was checked. Nil means always.
	Owns func(chestnutcleat.UpstreamID) bool
	// Engine returns nil for services.
	Engine   func(chestnutcleat.UpstreamID) chestnutcleat.Engine
	Observer chestnutcleat.Observer
	Policy   Policy
	Rand     *rand.Rand
	// TakeLoad asks for the right to load one model from the weight store; nil means that loads are not limited.
	TakeLoad func(done func(bool))
	// LeaseDuration and OrderDelay bound how long an order of a previous owner may still be on its way.
	LeaseDuration time.Duration
	OrderDelay    time.Duration

	upstreams map[chestnutcleat.UpstreamID]*upstream
	// lost holds slots whose previous owner died.
	lost   map[chestnutcleat.Slot]bool
	count  uint64
	timer  chestnutcleat.Timer
	sweeps int
}

var _ chestnutcleat.Owned = (*Book)(nil)

// Run starts the periodic sweep; it returns at once.
func (b *Book) Run() {
	b.Sweep()
	b.timer = b.Loop.After(sweepInterval, b.Run)
}

// Stop ends the periodic sweep.
func (b *Book) Stop() {
	if b.timer != nil {
		b.timer.Stop()
	}
}

// Own starts the state of upstreams whose slots this VM owns, so that they are polled, ordered and reported before
// the first request. It is called after Import and for each new manifest.
func (b *Book) Own(ids ...chestnutcleat.UpstreamID) {
	for _, id := range ids {
		b.upstream(id)
	}
}

// Acquire asks for a ticket; done runs exactly once. A repeated request joins the first one or gets its reply.
func (b *Book) Acquire(r chestnutcleat.AcquireRequest, done func(chestnutcleat.AcquireReply)) {
	now := time.Now()
	u, ok := b.upstream(r.Upstream)
	if !ok {
		done(chestnutcleat.AcquireReply{Moved: true})
		return
	}
	if old, ok := u.replies[r.ID]; ok && r.ID != "" {
		done(old.reply)
		return
	}
	if w, ok := u.waiting[r.ID]; ok && r.ID != "" {
		w.done = append(w.done, done)
		return
	}
	w := &request{AcquireRequest: r, level: r.Level, index: -1}
	if u.queue.fifo {
		w.level = 0
	}
	w.done = []func(chestnutcleat.AcquireReply){done}
	b.count++
	w.sequence = b.count
	if u.closed() {
		u.answer(w, chestnutcleat.AcquireReply{Moved: true}, now)
		return
	}
	cached := min(r.Prompt, u.cache.expect(r.History, now))
	w.cost = estimate(&u.config, r.Prompt, cached, r.Output)
	if p := u.tooLate(w, now); p != nil {
		u.answer(w, chestnutcleat.AcquireReply{Problem: p}, now)
		return
	}
	u.enqueue(w)
	b.serve(u)
	if w.index >= 0 && !r.Deadline.IsZero() {
		w.timer = b.Loop.After(r.Deadline.Sub(now), func() { b.expire(u, w) })
	}
}

// Cancel withdraws a queued request; a granted ticket is returned with Release.
func (b *Book) Cancel(id chestnutcleat.RequestID) {
	now := time.Now()
	for _, u := range b.upstreams {
		w, ok := u.waiting[id]
		if !ok {
			continue
		}
		u.queue.remove(w)
		p := chestnutcleat.NewProblem(chestnutcleat.CodeInterrupted, chestnutcleat.NotRun, "the request was cancelled while queued")
		u.answer(w, chestnutcleat.AcquireReply{Problem: p}, now)
		return
	}
}

// Release returns a ticket; a ticket that is not known (expired or of a previous owner) only updates the cache index.
func (b *Book) Release(r chestnutcleat.ReleaseRequest) {
	u, ok := b.upstream(r.Ticket.Upstream)
	if !ok {
		return
	}
	now := time.Now()
	t, known := u.tickets[r.Ticket.ID]
	if known {
		u.free(t)
	}
	switch {
	case r.Unused:
	case r.Failed || r.Crashed:
		if known {
			b.fail(u, r.Crashed)
		}
	default:
		b.learn(u, t, r, now)
		if known && u.breaker.succeed(u.config.Slots) {
			b.emit(event.UpstreamUp, "upstream", u.config.ID)
		}
	}
	b.serve(u)
}

// learn updates the cache index and the run time estimate from a finished request.
func (b *Book) learn(u *upstream, t *ticket, r chestnutcleat.ReleaseRequest, now time.Time) {
	if t != nil {
		if r.Usage.Cached < t.cached/2 {
			u.cache.correct(t.request.History, r.Usage.Cached)
			u.cache.store(t.request.History, r.Usage.Prompt, now)
			b.emit(event.CachePredictionOff, "upstream", u.config.ID, "expected", t.cached, "found", r.Usage.Cached)
		}
		u.observe(t.cost, r.Elapsed)
	}
	u.cache.store(r.History, r.Usage.Total(), now)
}

// serve grants tickets as long as the upstream has room.
func (b *Book) serve(u *upstream) {
	now := time.Now()
	for u.room() > 0 {
		w := u.queue.next(u.reserved(), u.allowed)
		if w == nil {
			return
		}
		if !w.Deadline.IsZero() && !now.Before(w.Deadline) {
			u.answer(w, chestnutcleat.AcquireReply{Problem: deadlineProblem()}, now)
			continue
		}
		b.grant(u, w, now)
	}
}

func (b *Book) grant(u *upstream, w *request, now time.Time) {
	b.count++
	epoch := b.epoch()
	id := string(u.config.ID) + "-" + strconv.FormatUint(uint64(epoch), 36) + "-" + strconv.FormatUint(b.count, 36)
	timeout := w.Timeout
	if timeout <= 0 {
		timeout = chestnutcleat.DefaultCallTimeout
	}
	known := u.cache.find(w.History)
	t := &ticket{
		Ticket: chestnutcleat.Ticket{
			ID:       chestnutcleat.TicketID(id),
			Upstream: u.config.ID,
			Epoch:    epoch,
			Expiry:   now.Add(timeout + ticketMargin),
		},
		request: w,
		cached:  min(w.Prompt, known.expect(now)),
		granted: now,
	}
	t.cost = estimate(&u.config, w.Prompt, t.cached, w.Output)
	u.use(t)
	u.cache.extend(known, w.History, w.Prompt, now)
	out := t.Ticket
	u.answer(w, chestnutcleat.AcquireReply{Ticket: &out, Priority: int(w.level)}, now)
}

// expire answers a queued request at its deadline.
func (b *Book) expire(u *upstream, w *request) {
	if w.index < 0 {
		return
	}
	u.queue.remove(w)
	b.emit(event.RequestExpired, "upstream", u.config.ID, "customer", w.Customer)
	u.answer(w, chestnutcleat.AcquireReply{Problem: deadlineProblem()}, time.Now())
}

func deadlineProblem() *chestnutcleat.Problem {
	return chestnutcleat.NewProblem(chestnutcleat.CodeDeadline, chestnutcleat.NotRun, "the deadline passed while the request was queued")
}

// Loads returns the summaries of the owned upstreams for gossip.
func (b *Book) Loads() []chestnutcleat.Load {
	out := make([]chestnutcleat.Load, 0, len(b.upstreams))
	for _, u := range b.upstreams {
		out = append(out, u.load(b.epoch()))
	}
	return out
}

// upstream returns the state of an upstream, created when the manifest has it.
func (b *Book) upstream(id chestnutcleat.UpstreamID) (*upstream, bool) {
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
	if b.lost[chestnutcleat.UpstreamKey(id).Slot()] {
		u.inherited = true
		u.breaker.ramp = 1
	}
	if b.upstreams == nil {
		b.upstreams = make(map[chestnutcleat.UpstreamID]*upstream)
	}
	b.upstreams[id] = u
	return u, true
}

func (b *Book) epoch() chestnutcleat.Epoch {
	if b.Epoch == nil {
		return 0
	}
	return b.Epoch()
}

func (b *Book) emit(id chestnutcleat.EventID, attributes ...any) {
	if b.Observer != nil {
		b.Observer.Emit(id, attributes...)
	}
}

// Cached returns how many tokens of a history an owned upstream probably has in its cache.
func (b *Book) Cached(id chestnutcleat.UpstreamID, history []chestnutcleat.Digest) chestnutcleat.Tokens {
	u, ok := b.upstreams[id]
	if !ok {
		return 0
	}
	return u.cache.expect(history, time.Now())
}
