package limit

import (
	"encoding/json"
	"time"

	"chestnutcleat.example/chestnutcleat"
)

// summaryLifetime is how long the last summary of a VM stays in use.
const summaryLifetime = 15 * time.Second

// summary holds the totals of one VM's active customers. Its size does not depend on their number.
type summary struct {
	VM     chestnutcleat.VMID `json:"v"`
	Number int64              `json:"n"`
	Sum    float64            `json:"s"`
	Weight float64            `json:"w"`
	Active int                `json:"a"`
	// Open is the sum of the moving averages of open calls.
	Open float64 `json:"o"`

	received time.Time
}

// Summary returns the encoded gossip summary of this VM's customers.
func (l *Limiter) Summary() []byte {
	now := time.Now()
	s := summary{VM: l.VM, Number: now.UnixNano()}
	l.updateTotals(now)
	s.Sum, s.Weight, s.Active, s.Open = l.localSum, l.localWeight, l.localActive, l.localOpen
	data, _ := json.Marshal(s)
	return data
}

// Busy reports whether this VM owns active customers, which other owners must count; an idle VM publishes no summary.
func (l *Limiter) Busy() bool {
	l.updateTotals(time.Now())
	return l.localActive > 0 || l.localOpen > 0
}

// Merge applies the gossip summary of another VM; outdated and invalid summaries are ignored.
func (l *Limiter) Merge(data []byte) {
	var s summary
	if err := json.Unmarshal(data, &s); err != nil || s.VM == l.VM || s.Active < 0 || s.Sum < 0 || s.Weight < 0 || s.Open < 0 {
		return
	}
	if old, ok := l.remote[s.VM]; ok && old.Number >= s.Number {
		return
	}
	if l.remote == nil {
		l.remote = make(map[chestnutcleat.VMID]summary)
	}
	s.received = time.Now()
	l.remote[s.VM] = s
}

// updateTotals updates the totals of this VM's active customers, at most every 100 ms.
func (l *Limiter) updateTotals(now time.Time) {
	if now.Sub(l.localAt) < 100*time.Millisecond {
		return
	}
	l.localAt, l.localSum, l.localWeight, l.localActive, l.localOpen = now, 0, 0, 0, 0
	for _, a := range l.accounts {
		open := a.demand.read(now)
		if v := a.usage.read(now); v > activeUsage {
			l.localSum += v
			l.localWeight += a.weight
			l.localActive++
			l.localOpen += open
		}
	}
}

// level returns 1 for a customer above its fair share of both service and open calls while others are active, otherwise 0.
// The comparison is with the other active customers only: neither of two customers can exceed twice the mean of both.
func (l *Limiter) level(a *account, now time.Time) chestnutcleat.Level {
	l.updateTotals(now)
	sum, weight, active, open := l.localSum, l.localWeight, l.localActive, l.localOpen
	for v, s := range l.remote {
		age := now.Sub(s.received)
		if age > summaryLifetime {
			delete(l.remote, v)
			continue
		}
		c := counter{value: s.Sum, at: s.received}
		sum += c.read(now)
		weight += s.Weight
		active += s.Active
		open += s.Open
	}
	ownUsage, ownCalls := a.usage.read(now), a.demand.smoothed
	otherUsage, otherWeight := sum-ownUsage, weight-a.weight
	overShare := active > 1 && otherUsage > 0 && otherWeight > 0 && ownUsage/a.weight > serviceShareFactor*otherUsage/otherWeight &&
		ownCalls/a.weight > demandFactor*max(0, open-ownCalls)/otherWeight
	if overShare != a.overShare {
		a.overShare = overShare
		l.emitLevelChange(a)
	}
	if overShare {
		return 1
	}
	return 0
}
