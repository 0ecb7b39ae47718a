package rate

import (
	"sync"
	"time"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/config"
)

const (
	// burstShare is the part of a burst that is used; the rest covers what other VMs admit before they hear of it.
	burstShare = 0.85
	// reportShare is the part of a burst that this VM may admit before others are told at once.
	reportShare = 0.02
)

// Fleet admits requests of customers up to a rate and burst over all VMs. Every VM counts what all of them admitted; a VM
// that is silent is taken to admit its even share.
type Fleet struct {
	mu sync.Mutex
	// vms is the number of VMs and silent how many of the others are not heard.
	vms, silent int
	customers   map[chestnutcleat.CustomerID]*account
	// started is when the fleet was first known; rates count from then.
	started time.Time
}

type account struct {
	rate, burst float64
	// level is what may be admitted at the moment; it may be below zero after other VMs' counts arrived.
	level    float64
	at       time.Time
	admitted uint64
	reported uint64
}

// NewFleet returns a limiter whose customers begin with an empty burst, so that a restart of all VMs admits no second one.
func NewFleet() *Fleet {
	return &Fleet{customers: map[chestnutcleat.CustomerID]*account{}}
}

// SetFleet tells how many VMs there are, this one included, and how many of them are silent.
func (f *Fleet) SetFleet(vms, silent int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	if f.vms == 0 {
		f.started = now
	}
	for _, a := range f.customers {
		f.fill(a, now)
	}
	f.vms, f.silent = max(1, vms), min(silent, max(0, vms-1))
}

// fill adds what the rate gave since the last time, less the even share of silent VMs.
func (f *Fleet) fill(a *account, now time.Time) {
	if f.vms == 0 {
		a.at = now
		return
	}
	share := float64(f.vms-f.silent) / float64(f.vms)
	a.level = min(a.burst*burstShare*share, a.level+now.Sub(a.at).Seconds()*a.rate*share)
	a.at = now
}

// Set replaces the customers with a rate.
func (f *Fleet) Set(list []config.Customer) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	next := make(map[chestnutcleat.CustomerID]*account, len(list))
	for _, c := range list {
		if c.Rate <= 0 {
			continue
		}
		a := f.customers[c.ID]
		if a == nil {
			a = &account{at: now}
			if f.vms > 0 {
				a.at = f.started
			}
		} else {
			f.fill(a, now)
		}
		a.rate, a.burst = c.Rate, c.Burst
		f.fill(a, now)
		next[c.ID] = a
	}
	f.customers = next
}

// Admit counts one request, or returns after what time one would be admitted. Soon is set when other VMs are to be told.
func (f *Fleet) Admit(c chestnutcleat.CustomerID) (ok, soon bool, retry time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	a := f.customers[c]
	if a == nil {
		return true, false, 0
	}
	f.fill(a, time.Now())
	if a.level < 1 {
		return false, false, time.Duration((1 - a.level) / a.rate * float64(time.Second))
	}
	a.level--
	a.admitted++
	return true, float64(a.admitted-a.reported) >= max(1, a.burst*reportShare), 0
}

// Admitted returns what this VM admitted since it started, to be told to others.
func (f *Fleet) Admitted() map[chestnutcleat.CustomerID]uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := make(map[chestnutcleat.CustomerID]uint64, len(f.customers))
	for c, a := range f.customers {
		if a.admitted > 0 {
			out[c] = a.admitted
		}
		a.reported = a.admitted
	}
	return out
}

// Others takes off what another VM admitted since its last summary.
func (f *Fleet) Others(counts map[chestnutcleat.CustomerID]uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	for c, n := range counts {
		if a := f.customers[c]; a != nil {
			f.fill(a, now)
			a.level -= float64(n)
		}
	}
}
