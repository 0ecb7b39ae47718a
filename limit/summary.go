package limit

import (
	"encoding/json"
	"time"

	"chestnutcleat.example/chestnutcleat"
)

// summaryLifetime is how long the summary of a VM that is no longer heard counts.
const summaryLifetime = 15 * time.Second

// summary holds the sums of the counters and weights of one VM's active customers; its size doesn't depend on their number.
type summary struct {
	VM     chestnutcleat.VMID `json:"v"`
	Number int64              `json:"n"`
	Sum    float64            `json:"s"`
	Weight float64            `json:"w"`
	Active int                `json:"a"`
	// Open is the sum of the smoothed numbers of open calls.
	Open float64 `json:"o"`

	received time.Time
}

// Summary returns the gossip item of this VM's customers.
func (b *Book) Summary() []byte {
	now := time.Now()
	s := summary{VM: b.VM, Number: now.UnixNano()}
	b.count(now)
	s.Sum, s.Weight, s.Active, s.Open = b.localSum, b.localWeight, b.localActive, b.localOpen
	data, _ := json.Marshal(s)
	return data
}

// Busy reports whether this VM owns customers that other owners must count; an idle owner publishes no summary.
func (b *Book) Busy() bool {
	b.count(time.Now())
	return b.localActive > 0 || b.localOpen > 0
}

// Merge takes the gossip item of another VM; older and unreadable items are ignored.
func (b *Book) Merge(data []byte) {
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

// count updates the sums of this VM's active customers, at most every 100 ms.
func (b *Book) count(now time.Time) {
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

// level returns 1 for a customer above its fair share of service and of open calls while others are active, otherwise
// 0. The share is measured against the other active customers: with two customers none can have more than twice the
// mean of both.
func (b *Book) level(a *account, now time.Time) chestnutcleat.Level {
	b.count(now)
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
	own, mine := a.usage.read(now), a.demand.value
	others, rest := sum-own, weight-a.weight
	behind := active > 1 && others > 0 && rest > 0 && own/a.weight > shareFactor*others/rest &&
		mine/a.weight > demandFactor*max(0, open-mine)/rest
	if behind != a.behind {
		a.behind = behind
		b.levelEvent(a)
	}
	if behind {
		return 1
	}
	return 0
}
