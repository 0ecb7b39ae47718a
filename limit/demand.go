package limit

import (
	"math"
	"time"

	"chestnutcleat.example/chestnutcleat"
)

const (
	// openLifetime is how long an admitted call counts whose end is not reported, as its entry VM was lost.
	openLifetime = 30 * time.Minute
	// demandHalfLife smooths the number of open calls, which one program with many sub-agents can raise for a moment.
	demandHalfLife = time.Minute
)

// demand is the number of calls that a customer has admitted and not finished. A customer that is held back gets little
// service, so its counter of service alone does not tell that it sends far more than its share.
type demand struct {
	open  map[chestnutcleat.RequestID]time.Time
	swept time.Time
	// value is the smoothed number.
	value float64
	at    time.Time
}

func (d *demand) begin(id chestnutcleat.RequestID, now time.Time) {
	if id == "" {
		return
	}
	if d.open == nil {
		d.open = make(map[chestnutcleat.RequestID]time.Time)
	}
	d.open[id] = now
}

func (d *demand) end(id chestnutcleat.RequestID) { delete(d.open, id) }

// read returns the smoothed number of open calls, which starts at zero.
func (d *demand) read(now time.Time) float64 {
	if d.at.IsZero() {
		d.at, d.swept = now, now
	}
	if now.Sub(d.swept) >= time.Minute {
		d.swept = now
		for id, at := range d.open {
			if now.Sub(at) >= openLifetime {
				delete(d.open, id)
			}
		}
	}
	k := math.Exp2(-float64(now.Sub(d.at)) / float64(demandHalfLife))
	d.value = d.value*k + float64(len(d.open))*(1-k)
	d.at = now
	return d.value
}
