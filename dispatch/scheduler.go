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
	// Owns reports whether this VM holds a valid lease that covers the upstream; nil means always. It is checked before
	// each order, because a timer triggers orders, not a request for which ownership was already checked.
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
func (s *Scheduler) Start() {
	s.Sweep()
	s.timer = s.Loop.After(sweepInterval, s.Start)
}

// Stop ends the periodic sweep.
func (s *Scheduler) Stop() {
	if s.timer != nil {
		s.timer.Stop()
	}
}

// Track creates the state of upstreams whose slots this VM owns, so that polling, orders and load reports start before
// the first request. It is called after Import and for each new manifest.
func (s *Scheduler) Track(ids ...chestnutcleat.UpstreamID) {
	for _, id := range ids {
		s.upstream(id)
	}
}

// Acquire requests a ticket and calls done exactly once. A request whose id is already queued joins the queued one; one
// that was answered within replyLifetime gets the same reply.
func (s *Scheduler) Acquire(r chestnutcleat.AcquireRequest, done func(chestnutcleat.AcquireReply)) {
	now := time.Now()
	u, ok := s.upstream(r.Upstream)
	if !ok {
		done(chestnutcleat.AcquireReply{ChooseAgain: true})
		return
	}
	if old, ok := u.replies[r.ID]; ok && r.ID != "" {
		done(old.reply)
		return
	}
	if req, ok := u.waiting[r.ID]; ok && r.ID != "" {
		req.callbacks = append(req.callbacks, done)
		return
	}
	req := &request{AcquireRequest: r, level: r.Level, index: -1}
	if u.queue.fifo {
		req.level = 0
	}
	req.callbacks = []func(chestnutcleat.AcquireReply){done}
	s.sequence++
	req.sequence = s.sequence
	if u.unavailable() {
		u.reply(req, chestnutcleat.AcquireReply{ChooseAgain: true}, now)
		return
	}
	cached := min(r.Prompt, u.cache.expectedTokens(r.History, now))
	req.cost = estimateRunTime(&u.config, r.Prompt, cached, r.Output)
	if p := u.checkDeadline(req, now); p != nil {
		u.reply(req, chestnutcleat.AcquireReply{Problem: p}, now)
		return
	}
	u.enqueue(req)
	s.grantQueued(u)
	if req.index >= 0 && !r.Deadline.IsZero() {
		req.timer = s.Loop.After(r.Deadline.Sub(now), func() { s.expireRequest(u, req) })
	}
}

// Cancel removes a queued request. A granted ticket must be returned with Release instead.
func (s *Scheduler) Cancel(id chestnutcleat.RequestID) {
	now := time.Now()
	for _, u := range s.upstreams {
		req, ok := u.waiting[id]
		if !ok {
			continue
		}
		u.queue.remove(req)
		p := chestnutcleat.NewProblem(chestnutcleat.CodeInterrupted, chestnutcleat.NotRun, "the request was cancelled while queued")
		u.reply(req, chestnutcleat.AcquireReply{Problem: p}, now)
		return
	}
}

// Release returns a ticket. An unknown ticket, which has expired or was granted by a previous owner, only updates the
// cache index.
func (s *Scheduler) Release(r chestnutcleat.ReleaseRequest) {
	u, ok := s.upstream(r.Ticket.Upstream)
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
			s.recordFailure(u, r.Crashed)
		}
	default:
		s.recordUsage(u, t, r, now)
		if known && u.breaker.recordSuccess(u.config.Slots) {
			s.emit(event.UpstreamUp, "upstream", u.config.ID)
		}
	}
	s.grantQueued(u)
}

// recordUsage updates the cache index and the run time estimate from a finished request.
func (s *Scheduler) recordUsage(u *upstream, t *ticket, r chestnutcleat.ReleaseRequest, now time.Time) {
	if t != nil {
		if r.Usage.Cached < t.cached/2 {
			u.cache.correct(t.request.History, r.Usage.Cached)
			u.cache.add(t.request.History, r.Usage.Prompt, now)
			s.emit(event.CachePredictionMissed, "upstream", u.config.ID, "expected", t.cached, "found", r.Usage.Cached)
		}
		u.updateRunTimeRatio(t.cost, r.Elapsed)
	}
	u.cache.add(r.History, r.Usage.Total(), now)
}

// grantQueued grants tickets to queued requests while the upstream has free slots.
func (s *Scheduler) grantQueued(u *upstream) {
	now := time.Now()
	for u.freeSlots() > 0 {
		req := u.queue.next(u.onlyReservedSlotFree(), u.mayRun)
		if req == nil {
			return
		}
		if !req.Deadline.IsZero() && !now.Before(req.Deadline) {
			u.reply(req, chestnutcleat.AcquireReply{Problem: deadlineProblem()}, now)
			continue
		}
		s.grant(u, req, now)
	}
}

func (s *Scheduler) grant(u *upstream, req *request, now time.Time) {
	s.sequence++
	epoch := s.epoch()
	id := string(u.config.ID) + "-" + strconv.FormatUint(uint64(epoch), 36) + "-" + strconv.FormatUint(s.sequence, 36)
	timeout := req.Timeout
	if timeout <= 0 {
		timeout = chestnutcleat.DefaultCallTimeout
	}
	known := u.cache.longestPrefix(req.History)
	t := &ticket{
		Ticket: chestnutcleat.Ticket{
			ID:       chestnutcleat.TicketID(id),
			Upstream: u.config.ID,
			Epoch:    epoch,
			Expiry:   now.Add(timeout + ticketMargin),
		},
		request: req,
		cached:  min(req.Prompt, known.expectedTokens(now)),
		granted: now,
	}
	t.cost = estimateRunTime(&u.config, req.Prompt, t.cached, req.Output)
	u.addTicket(t)
	u.cache.addAfter(known, req.History, req.Prompt, now)
	out := t.Ticket
	u.reply(req, chestnutcleat.AcquireReply{Ticket: &out, Priority: int(req.level)}, now)
}

// expireRequest rejects a request that is still queued at its deadline.
func (s *Scheduler) expireRequest(u *upstream, req *request) {
	if req.index < 0 {
		return
	}
	u.queue.remove(req)
	s.emit(event.RequestExpired, "upstream", u.config.ID, "customer", req.Customer)
	u.reply(req, chestnutcleat.AcquireReply{Problem: deadlineProblem()}, time.Now())
}

func deadlineProblem() *chestnutcleat.Problem {
	return chestnutcleat.NewProblem(chestnutcleat.CodeDeadline, chestnutcleat.NotRun, "the deadline passed while the request was queued")
}

// Loads returns the load summaries of the owned upstreams for gossip.
func (s *Scheduler) Loads() []chestnutcleat.Load {
	out := make([]chestnutcleat.Load, 0, len(s.upstreams))
	for _, u := range s.upstreams {
		out = append(out, u.load(s.epoch()))
	}
	return out
}

// upstream returns the state of an upstream and creates it on first use; it returns false if the manifest does not list
// the upstream.
func (s *Scheduler) upstream(id chestnutcleat.UpstreamID) (*upstream, bool) {
	if u, ok := s.upstreams[id]; ok {
		return u, true
	}
	c, ok := s.Upstream(id)
	if !ok {
		return nil, false
	}
	u := newUpstream(c, s.Policy != PolicySticky)
	if s.Engine != nil {
		u.engine = s.Engine(id)
	}
	if s.lostSlots[chestnutcleat.UpstreamKey(id).Slot()] {
		u.ownerLost = true
		u.breaker.rampLimit = 1
	}
	if s.upstreams == nil {
		s.upstreams = make(map[chestnutcleat.UpstreamID]*upstream)
	}
	s.upstreams[id] = u
	return u, true
}

func (s *Scheduler) epoch() chestnutcleat.Epoch {
	if s.Epoch == nil {
		return 0
	}
	return s.Epoch()
}

func (s *Scheduler) emit(id chestnutcleat.EventID, attributes ...any) {
	if s.Observer != nil {
		s.Observer.Emit(id, attributes...)
	}
}

// Cached returns the estimated number of tokens of a history in the prefix cache of an owned upstream.
func (s *Scheduler) Cached(id chestnutcleat.UpstreamID, history []chestnutcleat.Digest) chestnutcleat.Tokens {
	u, ok := s.upstreams[id]
	if !ok {
		return 0
	}
	return u.cache.expectedTokens(history, time.Now())
}
