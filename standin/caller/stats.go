package caller

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"chestnutcleat.example/chestnutcleat"
)

const (
	// Latencies are recorded in microseconds up to an hour with three significant digits.
	longest = int64(time.Hour / time.Microsecond)
	digits  = 3
)

// Stats is what the programs of one customer saw.
type Stats struct {
	Customer chestnutcleat.CustomerID
	Started  int
	Finished int
	Failed   int
	// Failovers counts calls that were sent again after a lost connection.
	Failovers int
	Usage     chestnutcleat.Usage
	// Refusals counts problems by code.
	Refusals map[chestnutcleat.Code]int
	// Latency is the time from start to end of finished programs.
	Latency *hdrhistogram.Histogram
	// FirstToken is the time from the request to the first token.
	FirstToken *hdrhistogram.Histogram
	// Errors holds the first errors of failed programs.
	Errors []string

	mu sync.Mutex
}

const maxErrors = 5

func newStats(c chestnutcleat.CustomerID) *Stats {
	return &Stats{
		Customer: c, Refusals: map[chestnutcleat.Code]int{},
		Latency: hdrhistogram.New(1, longest, digits), FirstToken: hdrhistogram.New(1, longest, digits),
	}
}

func (s *Stats) refused(p *chestnutcleat.Problem) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Refusals[p.Code]++
}

func (s *Stats) failover() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Failovers++
}

func (s *Stats) used(u chestnutcleat.Usage) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Usage.Prompt += u.Prompt
	s.Usage.Cached += u.Cached
	s.Usage.Output += u.Output
}

func (s *Stats) first(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	record(s.FirstToken, d)
}

func (s *Stats) begin() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Started++
}

func (s *Stats) end(d time.Duration, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err == nil {
		s.Finished++
		record(s.Latency, d)
		return
	}
	s.Failed++
	if len(s.Errors) < maxErrors {
		s.Errors = append(s.Errors, err.Error())
	}
}

// record clamps a latency to the histogram's range, in which recording cannot fail.
func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), 1), longest))
}

// Quantile returns a quantile of the program latency, with q in percent.
func (s *Stats) Quantile(q float64) time.Duration {
	return time.Duration(s.Latency.ValueAtQuantile(q)) * time.Microsecond
}

// CachedShare returns the part of the prompt tokens that the engines held.
func (s *Stats) CachedShare() float64 {
	if s.Usage.Prompt == 0 {
		return 0
	}
	return float64(s.Usage.Cached) / float64(s.Usage.Prompt)
}
