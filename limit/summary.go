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
func (b *Limiter) Summary() []byte {
	now := time.Now()
	s := summary{VM: b.VM, Number: now.UnixNano()}
	b.updateTotals(now)
	s.Sum, s.Weight, s.Active, s.Open = b.localSum, b.localWeight, b.localActive, b.localOpen
	data, _ := json.Marshal(s)
	return data
}

// Busy reports whether this VM owns active customers, which other owners must count; an idle VM publishes no summary.
func (b *Limiter) Busy() bool {
	b.updateTotals(time.Now())
	return b.localActive > 0 || b.localOpen > 0
}

// Merge applies the gossip summary of another VM; outdated and invalid summaries are ignored.
func (b *Limiter) Merge(data []byte) {
	var s summary
	if err := json.Unmarshal(data, &s); err != nil || s.VM == b.VM || s.Active < 0 || s.Sum < 0 || s.Weight < 0 || s.Open < 0 {
		return
	}
	if old, ok := b.remote[s.VM]; ok && old.Number >= s.Number {
		return
	}
	if b.remote == nil {
		b.remote = make(map[chestnutcleat.VMID]summary)
	}
	s.received = time.Now()
	b.remote[s.VM] = s
}

// updateTotals updates the totals of this VM's active customers, at most every 100 ms.
func (b *Limiter) updateTotals(now time.Time) {
	if now.Sub(b.localAt) < 100*time.Millisecond {
		return
	}
	b.localAt, b.localSum, b.localWeight, b.localActive, b.localOpen = now, 0, 0, 0, 0
	for _, a := range b.accounts {
		open := a.demand.read(now)
		if v := a.usage.read(now); v > activeUsage {
			b.localSum += v
			b.localWeight += a.weight
			b.localActive++
			b.localOpen += open
		}
	}
}

// level returns 1 for a customer above its fair share of both service and open calls while others are active, otherwise 0.
// The comparison is with the other active customers only: neither of two customers can exceed twice the mean of both.
func (b *Limiter) level(a *account, now time.Time) chestnutcleat.Level {
	b.updateTotals(now)
	sum, weight, active, open := b.localSum, b.localWeight, b.localActive, b.localOpen
	for v, s := range b.remote {
		age := now.Sub(s.received)
		if age > summaryLifetime {
			delete(b.remote, v)
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
		b.emitLevelChange(a)
	}
	if overShare {
		return 1
	}
	return 0
}
