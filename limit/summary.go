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

	received time.Time
}

// Summary returns the gossip item of this VM's customers.
func (b *Book) Summary() []byte {
	now := time.Now()
	s := summary{VM: b.VM, Number: now.UnixNano()}
	s.Sum, s.Weight, s.Active = b.local(now)
	data, _ := json.Marshal(s)
	return data
}

// Merge takes the gossip item of another VM; older and unreadable items are ignored.
func (b *Book) Merge(data []byte) {
	var s summary
	if err := json.Unmarshal(data, &s); err != nil || s.VM == b.VM || s.Active < 0 || s.Sum < 0 || s.Weight < 0 {
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

// local returns the sums of this VM's active customers, computed at most every 100 ms.
func (b *Book) local(now time.Time) (sum, weight float64, active int) {
	if now.Sub(b.localAt) < 100*time.Millisecond {
		return b.localSum, b.localWeight, b.localActive
	}
	b.localAt, b.localSum, b.localWeight, b.localActive = now, 0, 0, 0
	for _, a := range b.accounts {
		if v := a.usage.read(now); v > activeUsage {
			b.localSum += v
			b.localWeight += a.weight
			b.localActive++
		}
	}
	return b.localSum, b.localWeight, b.localActive
}

// level returns 1 for a customer above its fair share while others are active, otherwise 0. The share is measured
// against the other active customers: with two customers none can have more than twice the mean of both.
func (b *Book) level(a *account, now time.Time) chestnutcleat.Level {
	sum, weight, active := b.local(now)
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
	}
	own := a.usage.read(now)
	others, rest := sum-own, weight-a.weight
	behind := active > 1 && others > 0 && rest > 0 && own/a.weight > shareFactor*others/rest
	if behind != a.behind {
		a.behind = behind
		b.levelEvent(a)
	}
	if behind {
		return 1
	}
	return 0
}
