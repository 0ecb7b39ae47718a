package entry

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"chestnutcleat.example/chestnutcleat"
)

const (
	// crashThreshold is the number of crashes after which a request is refused. A request that crashes every instance it
	// reaches is sent again by its caller and would crash further ones.
	crashThreshold = 3
	// crashWindow is how long a crash count stays in effect after the latest crash.
	crashWindow = time.Minute
	// reportWindow is how long a crash count is reported to other VMs after the latest crash.
	reportWindow = 5 * time.Second
	// maxFingerprints is the number of requests above which old crash counts are discarded.
	maxFingerprints = 4096
)

// Fingerprint is a hash of a request's customer, method, target and body.
type Fingerprint uint64

// FingerprintOf returns the fingerprint of a request.
func FingerprintOf(c chestnutcleat.CustomerID, method, target string, body []byte) Fingerprint {
	var d xxhash.Digest
	d.Reset()
	for _, part := range []string{string(c), method, target} {
		_, _ = d.WriteString(part)
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(body)
	return Fingerprint(d.Sum64())
}

// CrashTracker detects requests that crash instances. It counts, over all VMs, the exchanges that failed after a request was sent,
// which may be crashes.
type CrashTracker struct {
	mu     sync.Mutex
	local  map[Fingerprint]crashCount
	remote map[string]map[Fingerprint]crashCount
}

type crashCount struct {
	count int
	last  time.Time
}

// RecordCrash counts a crash that this VM observed.
func (s *CrashTracker) RecordCrash(f Fingerprint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.local == nil {
		s.local = map[Fingerprint]crashCount{}
	}
	now := time.Now()
	if len(s.local) >= maxFingerprints {
		for k, b := range s.local {
			if now.Sub(b.last) > reportWindow {
				delete(s.local, k)
			}
		}
	}
	s.local[f] = crashCount{count: s.local[f].count + 1, last: now}
}

// Blocked reports whether the request has crashed so many instances that it must not be sent to another one.
func (s *CrashTracker) Blocked(f Fingerprint) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	total := 0
	add := func(b crashCount) {
		if now.Sub(b.last) < crashWindow {
			total += b.count
		}
	}
	add(s.local[f])
	for _, m := range s.remote {
		add(m[f])
	}
	return total >= crashThreshold
}

// RecentCounts returns this VM's recent crash counts for other VMs.
func (s *CrashTracker) RecentCounts() map[uint64]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := map[uint64]int{}
	for f, b := range s.local {
		if time.Since(b.last) < reportWindow {
			out[uint64(f)] = b.count
		}
	}
	return out
}

// Merge merges the crash counts of another VM, or the sums of a group of VMs, under its name.
func (s *CrashTracker) Merge(name string, counts map[uint64]int) {
	if len(counts) == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.remote == nil {
		s.remote = map[string]map[Fingerprint]crashCount{}
	}
	m := s.remote[name]
	if m == nil || len(m) >= maxFingerprints {
		m = map[Fingerprint]crashCount{}
		s.remote[name] = m
	}
	for k, n := range counts {
		f := Fingerprint(k)
		m[f] = crashCount{count: max(n, m[f].count), last: time.Now()}
	}
}
