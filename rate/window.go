package rate

import "time"

const (
	// slotTime is the resolution in which uses are forgotten.
	slotTime = 100 * time.Millisecond
	// exactHold is how long a giver counts a given token as not yet used where nothing may pass beyond a limit; the taker uses it
	// within takeTime of asking.
	exactHold = 400 * time.Millisecond
	takeTime  = 300 * time.Millisecond
)

// window counts uses within a sliding window. A use is forgotten when its whole slot has left the window.
type window struct {
	length time.Duration
	// begun is the start of the first slot; slots are told apart by the steady clock, as the time of day may leap.
	begun time.Time
	slots []slot
	total float64
}

// slot has the uses of one slotTime.
type slot struct {
	number int64
	used   float64
}

func (w *window) slotOf(t time.Time) int64 {
	return int64(t.Sub(w.begun).Truncate(slotTime) / slotTime)
}

// forget drops the slots that have left the window.
func (w *window) forget(now time.Time) {
	first := w.slotOf(now.Add(-w.length))
	n := 0
	for n < len(w.slots) && w.slots[n].number < first {
		w.total -= w.slots[n].used
		n++
	}
	w.slots = w.slots[n:]
	if len(w.slots) == 0 {
		// Rounding must not add up.
		w.total = 0
	}
}

// add counts uses at a time, which may lie ahead.
func (w *window) add(at time.Time, n float64) {
	w.total += n
	number := w.slotOf(at)
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

// scale changes all uses by a factor.
func (w *window) scale(factor float64) {
	for i := range w.slots {
		w.slots[i].used *= factor
	}
	w.total *= factor
}
