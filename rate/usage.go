package rate

import (
	"time"

	"chestnutcleat.example/chestnutcleat"
)

// reportedShare is the part of a VM's share from which on its use is worth a report.
const reportedShare = 0.25

// recentReport is the age up to which a report says what a VM had used when its process ended.
const recentReport = 2 * time.Second

// Usage holds what a VM has used within a window, for each customer that has used much.
type Usage map[chestnutcleat.CustomerID][]Use

// Use is a number of tokens that were used some time ago.
type Use struct {
	Age    time.Duration `json:"age"`
	Tokens float64       `json:"tokens"`
}

// Usage returns what this VM has used of its shares.
func (l *Limiter) Usage() Usage {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	out := Usage{}
	for c, a := range l.customers {
		a.advance(now)
		if a.used.total > 0 && a.used.total >= reportedShare*a.targetShare {
			out[c] = a.used.uses(now)
		}
	}
	return out
}

// Restore counts what the process before this one had used, by a report of the given age. What it used since is not known.
func (l *Limiter) Restore(u Usage, age time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	l.restored, l.restoredAt = u, now.Add(-age)
	for c, a := range l.customers {
		a.advance(now)
		l.restoreAccount(c, a, now)
	}
}

// restoreAccount counts the restored uses of a customer, if there are any and this VM's share is known. The caller holds l.mu.
func (l *Limiter) restoreAccount(c chestnutcleat.CustomerID, a *account, now time.Time) {
	if !l.restoredAt.IsZero() && len(l.vms) > 0 {
		a.restore(l.restored[c], now.Sub(l.restoredAt), now)
	}
}

// restore counts the uses of a customer in a report of the given age; a report leaves out those below reportedShare. A share that opens
// over one window does so because its uses are not known: a recent report opens it at once, an older one by the uses that it names.
func (a *account) restore(list []Use, age time.Duration, now time.Time) {
	if len(list) == 0 {
		list = []Use{{Tokens: reportedShare * a.targetShare}}
	}
	if age < recentReport {
		a.share = a.targetShare
	}
	for _, u := range list {
		// A sum of ages could overflow.
		if used := max(0, u.Age); used < a.used.length-age {
			a.used.add(now.Add(-used-age), plausible(u.Tokens))
			a.share = min(a.targetShare, a.share+plausible(u.Tokens))
		}
	}
}

// uses returns the uses in the window. A use counts from the end of its slot, so that it is not counted for too short a time.
func (w *window) uses(now time.Time) []Use {
	list := make([]Use, 0, len(w.slots))
	for _, s := range w.slots {
		if s.used > 0 {
			list = append(list, Use{Age: max(0, now.Sub(w.start)-time.Duration(s.number+1)*slotTime), Tokens: s.used})
		}
	}
	return list
}
