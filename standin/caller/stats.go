package caller

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"chestnutcleat.example/chestnutcleat"
)

const (
	// Histograms record microseconds up to one hour, with three significant digits.
	maxMicroseconds   = int64(time.Hour / time.Microsecond)
	significantDigits = 3
)

// Stats holds the results of one customer's programs.
type Stats struct {
	Customer chestnutcleat.CustomerID
	Started  int
	Finished int
	Failed   int
	// Failovers counts attempts that failed without a problem document, such as by a lost connection.
	Failovers int
	Usage     chestnutcleat.Usage
	// Refusals counts problem documents by code.
	Refusals map[chestnutcleat.Code]int
	// Latency is the time from start to end of programs that finished without an error, in microseconds.
	Latency *hdrhistogram.Histogram
	// FirstToken is the time from sending a request to its first token, in microseconds.
	FirstToken *hdrhistogram.Histogram
	// Errors holds the errors of the first few failed programs.
	Errors []string

	mu sync.Mutex
}

const maxErrors = 5

func newStats(c chestnutcleat.CustomerID) *Stats {
	return &Stats{
		Customer: c, Refusals: map[chestnutcleat.Code]int{},
		Latency: hdrhistogram.New(1, maxMicroseconds, significantDigits), FirstToken: hdrhistogram.New(1, maxMicroseconds, significantDigits),
	}
}

func (s *Stats) addRefusal(p *chestnutcleat.Problem) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Refusals[p.Code]++
}

func (s *Stats) addFailover() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Failovers++
}

func (s *Stats) addUsage(u chestnutcleat.Usage) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Usage.Prompt += u.Prompt
	s.Usage.Cached += u.Cached
	s.Usage.Output += u.Output
}

func (s *Stats) addFirstToken(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	recordLatency(s.FirstToken, d)
}

func (s *Stats) addStarted() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Started++
}

func (s *Stats) addEnded(d time.Duration, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err == nil {
		s.Finished++
		recordLatency(s.Latency, d)
		return
	}
	s.Failed++
	if len(s.Errors) < maxErrors {
		s.Errors = append(s.Errors, err.Error())
	}
}

// recordLatency records a latency, clamped to the range of the histogram so that recording cannot fail.
func recordLatency(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), 1), maxMicroseconds))
}

// Percentile returns a percentile of the program latency, with p from 0 to 100.
func (s *Stats) Percentile(p float64) time.Duration {
	return time.Duration(s.Latency.ValueAtQuantile(p)) * time.Microsecond
}

// CachedShare returns the fraction of prompt tokens that came from the engines' caches.
func (s *Stats) CachedShare() float64 {
	if s.Usage.Prompt == 0 {
		return 0
	}
	return float64(s.Usage.Cached) / float64(s.Usage.Prompt)
}
