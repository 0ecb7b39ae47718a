package dispatch

import (
	"time"

	"chestnutcleat.example/chestnutcleat"
)

// upstream is the owner's state of one upstream.
type upstream struct {
	config     chestnutcleat.Upstream
	engine     chestnutcleat.Engine
	queue      queue
	waiting    map[chestnutcleat.RequestID]*request
	tickets    map[chestnutcleat.TicketID]*ticket
	replies    map[chestnutcleat.RequestID]sentReply
	replyOrder []sentReply
	// runningSuspects is the number of tickets in use whose requests must run alone, as suspects of a crash.
	runningSuspects int
	cache           cacheIndex
	breaker         breaker
	lastEvent       chestnutcleat.Sequence
	sequence        chestnutcleat.Sequence
	// report is the engine's last load report. ticketsAtReport is the number of tickets in use before or after that poll,
	// whichever is larger.
	report          chestnutcleat.LoadReport
	ticketsAtReport int
	// runTimeRatio is the moving average of observed over estimated run time.
	runTimeRatio float64
	// runningCost is the total estimated run time of the tickets in use.
	runningCost time.Duration
	polling     bool
	probing     bool
	pins        map[string]chestnutcleat.Pin
	orders      orders
	// frozen is set by Export: only the next owner grants tickets.
	frozen bool
	// ownerLost is set if the previous owner was lost. Its tickets then show only in the engine's load report.
	ownerLost bool
}

func newUpstream(c chestnutcleat.Upstream, fifo bool) *upstream {
	return &upstream{
		config:       c,
		queue:        queue{fifo: fifo},
		waiting:      make(map[chestnutcleat.RequestID]*request),
		tickets:      make(map[chestnutcleat.TicketID]*ticket),
		replies:      make(map[chestnutcleat.RequestID]sentReply),
		cache:        cacheIndex{size: c.Cache},
		breaker:      breaker{health: chestnutcleat.HealthUp, rampLimit: max(1, c.Slots)},
		runTimeRatio: 1,
		pins:         make(map[string]chestnutcleat.Pin),
	}
}

// unavailable reports whether the upstream takes no new requests.
func (u *upstream) unavailable() bool {
	return u.config.Leaving || u.breaker.health == chestnutcleat.HealthDown
}

// freeSlots returns how many tickets may be granted now; it may be negative.
func (u *upstream) freeSlots() int {
	if u.unavailable() || u.frozen {
		return 0
	}
	free := min(max(1, u.config.Slots), max(1, u.breaker.rampLimit)) - len(u.tickets)
	if u.ownerLost {
		free -= u.untrackedLoad()
	}
	return free
}

// minSlotsForReserve is the smallest number of slots of which one is reserved for level 0.
const minSlotsForReserve = 4

// onlyReservedSlotFree reports whether at most the slot reserved for level 0 is free. Without the reservation, requests
// above level 0 could take all slots and a request of level 0 would wait until one of them ends.
func (u *upstream) onlyReservedSlotFree() bool {
	return u.config.Slots >= minSlotsForReserve && len(u.tickets) >= u.config.Slots-1
}

// mayRun reports whether a request may run now: suspects run one at a time, and a half-open upstream prefers repeatable
// requests.
func (u *upstream) mayRun(r *request) bool {
	if r.Isolated && u.runningSuspects > 0 {
		return false
	}
	if r.Repeatable || u.breaker.health != chestnutcleat.HealthProbing {
		return true
	}
	return time.Since(u.breaker.probedAt) >= repeatableProbeWindow
}

func (u *upstream) enqueue(req *request) {
	u.queue.add(req)
	if req.ID != "" {
		u.waiting[req.ID] = req
	}
}

func (u *upstream) addTicket(t *ticket) {
	u.tickets[t.ID] = t
	u.runningCost += t.cost
	if t.request.Isolated {
		u.runningSuspects++
	}
}

func (u *upstream) removeTicket(t *ticket) {
	delete(u.tickets, t.ID)
	u.runningCost -= t.cost
	if t.request.Isolated {
		u.runningSuspects--
	}
}

// reply answers a request that is no longer queued and keeps the reply for retries.
func (u *upstream) reply(req *request, r chestnutcleat.AcquireReply, now time.Time) {
	delete(u.waiting, req.ID)
	if req.ID != "" && !r.ChooseAgain {
		a := sentReply{id: req.ID, at: now, reply: r}
		u.replies[req.ID] = a
		u.replyOrder = append(u.replyOrder, a)
	}
	for _, f := range req.callbacks {
		f(r)
	}
}

// forgetReplies removes replies older than replyLifetime.
func (u *upstream) forgetReplies(now time.Time) {
	for len(u.replyOrder) > 0 && now.Sub(u.replyOrder[0].at) >= replyLifetime {
		delete(u.replies, u.replyOrder[0].id)
		u.replyOrder[0] = sentReply{}
		u.replyOrder = u.replyOrder[1:]
	}
}

// updateRunTimeRatio adjusts run time estimates to the observed run time of a request.
func (u *upstream) updateRunTimeRatio(expected, took time.Duration) {
	if expected <= 0 || took <= 0 {
		return
	}
	ratio := min(10, max(0.1, float64(took)/float64(expected)))
	u.runTimeRatio += 0.1 * (ratio - u.runTimeRatio)
}

// untrackedLoad returns the engine's reported requests beyond those of known tickets, such as requests of a previous
// owner.
func (u *upstream) untrackedLoad() int {
	return max(0, u.report.Running+u.report.Waiting-max(u.ticketsAtReport, len(u.tickets)))
}

// expectedWait estimates the queueing time of a request with the given work and number of requests ahead of it.
func (u *upstream) expectedWait(ahead time.Duration, queued int) time.Duration {
	free := u.freeSlots() - u.untrackedLoad()
	if queued < free {
		return 0
	}
	slots := max(1, u.config.Slots)
	mean := time.Duration(0)
	if n := len(u.tickets); n > 0 {
		mean = u.runningCost / time.Duration(n)
	}
	// Running requests are assumed to be half done on average.
	work := ahead + u.runningCost/2 + time.Duration(u.untrackedLoad())*mean/2
	return time.Duration(u.runTimeRatio * float64(work) / float64(slots))
}

// checkDeadline returns a problem if the request is not expected to start before its deadline, otherwise nil.
func (u *upstream) checkDeadline(req *request, now time.Time) *chestnutcleat.Problem {
	if req.Deadline.IsZero() {
		return nil
	}
	if !now.Before(req.Deadline) {
		return deadlineProblem()
	}
	if u.freeSlots() > 0 && u.queue.Len() == 0 {
		return nil
	}
	queued := u.queue.Len()
	if req.level == 0 {
		queued = u.queue.level0Len()
	}
	wait := u.expectedWait(u.queue.costAhead(req), queued)
	if now.Add(wait).Before(req.Deadline) {
		return nil
	}
	p := chestnutcleat.NewProblem(chestnutcleat.CodeBusy, chestnutcleat.NotRun, "the expected wait of %s exceeds the deadline", wait.Round(time.Millisecond))
	return p.WithRetry(wait - req.Deadline.Sub(now) + time.Second)
}

func (u *upstream) load(e chestnutcleat.Epoch) chestnutcleat.Load {
	u.sequence++
	health := u.breaker.health
	if u.config.Leaving {
		health = chestnutcleat.HealthLeaving
	}
	return chestnutcleat.Load{
		Upstream: u.config.ID,
		Epoch:    e,
		Sequence: u.sequence,
		Health:   health,
		Running:  len(u.tickets),
		Queued:   u.queue.Len(),
		Wait:     u.expectedWait(u.queue.level0Cost, u.queue.level0Len()),
		Occupied: u.cache.used,
	}
}
