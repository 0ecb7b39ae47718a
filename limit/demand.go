package limit

import (
	"math"
	"time"

	"chestnutcleat.example/chestnutcleat"
)

const (
	// openLifetime is how long an admitted call counts as open if its end is never reported because its entry VM was lost.
	openLifetime = 30 * time.Minute
	// demandHalfLife is the half-life of the moving average of open calls, which absorbs short bursts of a program with
	// many sub-agents.
	demandHalfLife = time.Minute
)

// demand tracks a customer's open calls: admitted and not finished. A customer at a low priority receives little service,
// so its usage alone does not show that it sends far more than its share.
type demand struct {
	openCalls map[chestnutcleat.RequestID]time.Time
	swept     time.Time
	// smoothed is the moving average of the number of open calls.
	smoothed float64
	at       time.Time
}

func (d *demand) begin(id chestnutcleat.RequestID, now time.Time) {
	if id == "" {
		return
	}
	if d.openCalls == nil {
		d.openCalls = make(map[chestnutcleat.RequestID]time.Time)
	}
	d.openCalls[id] = now
}

func (d *demand) end(id chestnutcleat.RequestID) { delete(d.openCalls, id) }

// read updates and returns the moving average of open calls, which starts at zero.
func (d *demand) read(now time.Time) float64 {
	if d.at.IsZero() {
		d.at, d.swept = now, now
	}
	if now.Sub(d.swept) >= time.Minute {
		d.swept = now
		for id, at := range d.openCalls {
			if now.Sub(at) >= openLifetime {
				delete(d.openCalls, id)
			}
		}
	}
	decay := math.Exp2(-float64(now.Sub(d.at)) / float64(demandHalfLife))
	d.smoothed = d.smoothed*decay + float64(len(d.openCalls))*(1-decay)
	d.at = now
	return d.smoothed
}
