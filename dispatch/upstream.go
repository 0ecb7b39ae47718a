package dispatch

import (
	"time"

	"chestnutcleat.example/chestnutcleat"
)

// upstream is the owner's state of one upstream.
type upstream struct {
	config  chestnutcleat.Upstream
	engine  chestnutcleat.Engine
	queue   queue
	waiting map[chestnutcleat.RequestID]*request
	tickets map[chestnutcleat.TicketID]*ticket
	replies map[chestnutcleat.RequestID]answered
	order   []answered
	// alone counts running suspects.
	alone    int
	cache    cache
	breaker  breaker
	events   chestnutcleat.Sequence
	sequence chestnutcleat.Sequence
	// report is the engine's last load report; reported is the largest number of own tickets around it.
	report   chestnutcleat.LoadReport
	reported int
	// factor is the ratio of observed to estimated run time.
	factor float64
	// running is the sum of the estimated run times of the tickets in use.
	running time.Duration
	polling bool
	probing bool
	pins    map[string]chestnutcleat.Pin
	orders  orders
	// frozen is set after Export; the next owner grants tickets.
	frozen bool
	// inherited is set when a previous owner was lost: its tickets are seen only in the engine's report.
	inherited bool
}

func newUpstream(c chestnutcleat.Upstream, fifo bool) *upstream {
	return &upstream{
		config:  c,
		queue:   queue{fifo: fifo},
		waiting: make(map[chestnutcleat.RequestID]*request),
		tickets: make(map[chestnutcleat.TicketID]*ticket),
		replies: make(map[chestnutcleat.RequestID]answered),
		cache:   cache{size: c.Cache},
		breaker: breaker{health: chestnutcleat.HealthUp, ramp: max(1, c.Slots)},
		factor:  1,
		pins:    make(map[string]chestnutcleat.Pin),
	}
}

// closed tells that the upstream takes no new requests.
func (u *upstream) closed() bool {
	return u.config.Leaving || u.breaker.health == chestnutcleat.HealthDown
}

// room returns how many tickets may be granted now.
func (u *upstream) room() int {
	if u.closed() || u.frozen {
		return 0
	}
	room := min(max(1, u.config.Slots), max(1, u.breaker.ramp)) - len(u.tickets)
	if u.inherited {
		room -= u.extra()
	}
	return room
}

// minReserving is the number of slots from which one is kept for level 0.
const minReserving = 4

// reserved tells that only the last slot is free. It is kept for requests of level 0: they arrive between those that
// are held back and would wait until one of those ends.
func (u *upstream) reserved() bool {
	return u.config.Slots >= minReserving && len(u.tickets) >= u.config.Slots-1
}

// allowed tells whether a request may run now: one suspect at a time, and repeatable requests first as probes.
func (u *upstream) allowed(r *request) bool {
	if r.Alone && u.alone > 0 {
		return false
	}
	if r.Repeatable || u.breaker.health != chestnutcleat.HealthProbing {
		return true
	}
	return time.Since(u.breaker.since) >= probeChoice
}

func (u *upstream) enqueue(w *request) {
	u.queue.add(w)
	if w.ID != "" {
		u.waiting[w.ID] = w
	}
}

func (u *upstream) use(t *ticket) {
	u.tickets[t.ID] = t
	u.running += t.cost
	if t.request.Alone {
		u.alone++
	}
}

func (u *upstream) free(t *ticket) {
	delete(u.tickets, t.ID)
	u.running -= t.cost
	if t.request.Alone {
		u.alone--
	}
}

// answer delivers the reply of a request that is no longer queued.
func (u *upstream) answer(w *request, r chestnutcleat.AcquireReply, now time.Time) {
	delete(u.waiting, w.ID)
	if w.ID != "" && !r.Moved {
		a := answered{id: w.ID, at: now, reply: r}
		u.replies[w.ID] = a
		u.order = append(u.order, a)
	}
	for _, f := range w.done {
		f(r)
	}
}

// forget removes replies that are no longer repeated.
func (u *upstream) forget(now time.Time) {
	for len(u.order) > 0 && now.Sub(u.order[0].at) >= replyLifetime {
		delete(u.replies, u.order[0].id)
		u.order[0] = answered{}
		u.order = u.order[1:]
	}
}

// observe corrects the run time estimate by what requests took.
func (u *upstream) observe(expected, took time.Duration) {
	if expected <= 0 || took <= 0 {
		return
	}
	ratio := min(10, max(0.1, float64(took)/float64(expected)))
	u.factor += 0.1 * (ratio - u.factor)
}

// extra is the engine's load that does not come from own tickets, such as those of a previous owner.
func (u *upstream) extra() int {
	return max(0, u.report.Running+u.report.Waiting-max(u.reported, len(u.tickets)))
}

// wait estimates when a request starts that has the given work ahead of it in the queue.
func (u *upstream) wait(ahead time.Duration, queued int) time.Duration {
	room := u.room() - u.extra()
	if queued < room {
		return 0
	}
	slots := max(1, u.config.Slots)
	mean := time.Duration(0)
	if n := len(u.tickets); n > 0 {
		mean = u.running / time.Duration(n)
	}
	// Tickets in use are on average half done.
	work := ahead + u.running/2 + time.Duration(u.extra())*mean/2
	return time.Duration(u.factor * float64(work) / float64(slots))
}

// tooLate returns the problem of a request that is not expected to start before its deadline.
func (u *upstream) tooLate(w *request, now time.Time) *chestnutcleat.Problem {
	if w.Deadline.IsZero() {
		return nil
	}
	if !now.Before(w.Deadline) {
		return deadlineProblem()
	}
	if u.room() > 0 && u.queue.Len() == 0 {
		return nil
	}
	queued := u.queue.Len()
	if w.level == 0 {
		queued = u.queue.direct()
	}
	wait := u.wait(u.queue.ahead(w), queued)
	if now.Add(wait).Before(w.Deadline) {
		return nil
	}
	p := chestnutcleat.NewProblem(chestnutcleat.CodeBusy, chestnutcleat.NotRun, "the expected wait of %s exceeds the deadline", wait.Round(time.Millisecond))
	return p.WithRetry(wait - w.Deadline.Sub(now) + time.Second)
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
		Wait:     u.wait(u.queue.cost, u.queue.direct()),
		Occupied: u.cache.used,
	}
}
