package entry

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"chestnutcleat.example/chestnutcleat"
)

const (
	// maxBreaks is the number of instances that may break off while they run one request before it is refused: a request
	// that crashes every instance that runs it comes again.
	maxBreaks = 3
	// suspectTime is how long a broken run counts.
	suspectTime = time.Minute
	// suspectNews is how long other VMs are told of a broken run.
	suspectNews = 5 * time.Second
	// maxSuspects bounds the requests that are remembered.
	maxSuspects = 4096
)

// Fingerprint names a request by its customer, method, target and body.
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

// Suspects counts the instances that broke off while they ran a request, over all VMs.
type Suspects struct {
	mu     sync.Mutex
	own    map[Fingerprint]breaks
	others map[string]map[Fingerprint]breaks
}

type breaks struct {
	count int
	last  time.Time
}

// Broke counts a broken run at this VM.
func (s *Suspects) Broke(f Fingerprint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.own == nil {
		s.own = map[Fingerprint]breaks{}
	}
	now := time.Now()
	if len(s.own) >= maxSuspects {
		for k, b := range s.own {
			if now.Sub(b.last) > suspectNews {
				delete(s.own, k)
			}
		}
	}
	s.own[f] = breaks{count: s.own[f].count + 1, last: now}
}

// Crashes reports whether the request has broken so many instances that it must not reach another one.
func (s *Suspects) Crashes(f Fingerprint) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	total := 0
	add := func(b breaks) {
		if now.Sub(b.last) < suspectTime {
			total += b.count
		}
	}
	add(s.own[f])
	for _, m := range s.others {
		add(m[f])
	}
	return total >= maxBreaks
}

// News returns the counts that other VMs are told.
func (s *Suspects) News() map[uint64]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := map[uint64]int{}
	for f, b := range s.own {
		if time.Since(b.last) < suspectNews {
			out[uint64(f)] = b.count
		}
	}
	return out
}

// Heard takes over the counts of another VM, or the sums of a group of them, by its name.
func (s *Suspects) Heard(name string, news map[uint64]int) {
	if len(news) == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.others == nil {
		s.others = map[string]map[Fingerprint]breaks{}
	}
	m := s.others[name]
	if m == nil || len(m) >= maxSuspects {
		m = map[Fingerprint]breaks{}
		s.others[name] = m
	}
	for k, n := range news {
		f := Fingerprint(k)
		m[f] = breaks{count: max(n, m[f].count), last: time.Now()}
	}
}
