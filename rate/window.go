package rate

import "time"

const (
	// slotTime is the resolution in which uses expire.
	slotTime = 100 * time.Millisecond
	// strictUseDelay is the delay after which a lent token counts as used, if no overage is accepted. It is longer than loanTime, the
	// time from its request within which the borrower may use it.
	strictUseDelay = 400 * time.Millisecond
	loanTime       = 300 * time.Millisecond
)

// window counts uses within a sliding window. A use expires when its whole slot has left the window.
type window struct {
	length time.Duration
	// start is the time of the first slot. Slots are numbered by the monotonic clock, as the wall clock may be set.
	start time.Time
	slots []slot
	total float64
}

// slot counts the uses within one slotTime.
type slot struct {
	number int64
	used   float64
}

func (w *window) slotNumber(t time.Time) int64 {
	return int64(t.Sub(w.start).Truncate(slotTime) / slotTime)
}

// expire drops the slots that have left the window.
func (w *window) expire(now time.Time) {
	first := w.slotNumber(now.Add(-w.length))
	n := 0
	for n < len(w.slots) && w.slots[n].number < first {
		w.total -= w.slots[n].used
		n++
	}
	w.slots = w.slots[n:]
	if len(w.slots) == 0 {
		// Resetting keeps rounding errors from adding up.
		w.total = 0
	}
}

// add counts n uses at a time, which may be in the future.
func (w *window) add(at time.Time, n float64) {
	w.total += n
	number := w.slotNumber(at)
	i := len(w.slots)
	for i > 0 && w.slots[i-1].number > number {
		i--
	}
	if i > 0 && w.slots[i-1].number == number {
		w.slots[i-1].used += n
		return
	}
	w.slots = append(w.slots, slot{})
	copy(w.slots[i+1:], w.slots[i:])
	w.slots[i] = slot{number: number, used: n}
}

// remove removes n uses that were added at a time, as far as they have not left the window.
func (w *window) remove(at time.Time, n float64) {
	number := w.slotNumber(at)
	for i := range w.slots {
		if w.slots[i].number == number {
			n = min(n, w.slots[i].used)
			w.slots[i].used -= n
			w.total -= n
		}
	}
}

// scale multiplies all uses by a factor.
func (w *window) scale(factor float64) {
	for i := range w.slots {
		w.slots[i].used *= factor
	}
	w.total *= factor
}
