package place

import (
	"cmp"
	"slices"
	"time"

	"chestnutcleat.example/chestnutcleat"
)

const (
	// outcomeWindow is the sliding window over which outcomes are counted, in outcomeBuckets buckets.
	outcomeWindow  = 3 * time.Second
	outcomeBuckets = 3
	// outlierFailureRate is the failure rate from which an instance is an outlier, if it failed at least outlierMinFailures times.
	// The threshold is well above zero because plain services answer some requests with errors of their own.
	outlierFailureRate = 0.3
	outlierMinFailures = 3
	// ejectionDivisor limits ejection: at most one in ejectionDivisor instances of a service is ejected at a time.
	ejectionDivisor = 4
	// minEjectionTime and maxEjectionTime bound an ejection; its duration doubles each time the instance fails again. The first one
	// lasts for outcomeWindow, so that the failures that led to it have expired when it ends.
	minEjectionTime = outcomeWindow
	maxEjectionTime = 12 * time.Second
	// For probationTime after an ejection an instance gets one in probationDivisor of its requests, and probationMinFailures are enough
	// to eject it again if its failure rate is that of an outlier.
	probationTime        = outcomeWindow
	probationDivisor     = 8
	probationMinFailures = 2
	// maxEjectionCount keeps the doubling from overflowing.
	maxEjectionCount = 8
)

// OutcomeCounts holds the outcomes of requests within outcomeWindow.
type OutcomeCounts struct {
	// Answered counts the requests that ended at each service's instances, with or without success.
	Answered map[chestnutcleat.ServiceName]int `json:"answered,omitempty"`
	// Failed counts the requests that an instance failed, by an error of its own, an invalid answer or a broken connection.
	Failed map[chestnutcleat.InstanceID]int `json:"failed,omitempty"`
}

// Add adds the counts of another VM; negative counts are ignored.
func (c *OutcomeCounts) Add(o OutcomeCounts) {
	if c.Answered == nil {
		c.Answered, c.Failed = map[chestnutcleat.ServiceName]int{}, map[chestnutcleat.InstanceID]int{}
	}
	for s, n := range o.Answered {
		c.Answered[s] += max(0, n)
	}
	for i, n := range o.Failed {
		c.Failed[i] += max(0, n)
	}
}

// outcomeHistory holds this VM's own outcome counts in a ring of time buckets.
type outcomeHistory struct {
	start   time.Time
	buckets [outcomeBuckets]OutcomeCounts
	// current is the number of the latest bucket since start.
	current int
}

// advance clears the buckets that have expired and returns the one for the present time.
func (h *outcomeHistory) advance(now time.Time) *OutcomeCounts {
	n := int(now.Sub(h.start) / (outcomeWindow / outcomeBuckets))
	for i := h.current + 1; i <= n && i <= h.current+outcomeBuckets; i++ {
		h.buckets[i%outcomeBuckets] = OutcomeCounts{}
	}
	h.current = n
	return &h.buckets[n%outcomeBuckets]
}

func (h *outcomeHistory) record(s chestnutcleat.ServiceName, i chestnutcleat.InstanceID, failed bool) {
	one := OutcomeCounts{Answered: map[chestnutcleat.ServiceName]int{s: 1}}
	if failed {
		one.Failed = map[chestnutcleat.InstanceID]int{i: 1}
	}
	h.advance(time.Now()).Add(one)
}

// total returns the sum of all buckets.
func (h *outcomeHistory) total() OutcomeCounts {
	h.advance(time.Now())
	var out OutcomeCounts
	for _, b := range h.buckets {
		out.Add(b)
	}
	return out
}

// Outcomes returns the outcomes of this VM's own requests.
func (t *Table) Outcomes() OutcomeCounts {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.outcomes.total()
}

// EjectOutliers ejects the instances with the highest failure rates. Each group has the outcome counts of some other VMs, to which
// this VM's own are added. Callers pass the counts of all VMs and those of this VM's failure domain, as an instance may fail for
// one domain only.
func (t *Table) EjectOutliers(groups ...OutcomeCounts) []Ejection {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Ejection
	ownCounts := t.outcomes.total()
	groupCounts := make([]OutcomeCounts, len(groups))
	for i, g := range groups {
		groupCounts[i].Add(g)
		groupCounts[i].Add(ownCounts)
	}
	for _, list := range t.services {
		failureRates := map[*instanceState]float64{}
		for _, counts := range groupCounts {
			for _, s := range list {
				failureRates[s] = max(failureRates[s], s.failureRate(counts, len(list)))
			}
		}
		out = append(out, eject(list, failureRates)...)
	}
	return out
}

// failureRate returns the part of an instance's answers that failed, or zero if it is below the thresholds for outliers. As answers
// are counted by service, each instance is assumed to have given an equal share of them.
func (s *instanceState) failureRate(counts OutcomeCounts, instances int) float64 {
	minFailures, answered := outlierMinFailures, float64(max(1, counts.Answered[s.Service]))/float64(instances)
	if s.onProbation(time.Now()) {
		minFailures, answered = probationMinFailures, answered/probationDivisor
	}
	failed := counts.Failed[s.ID]
	rate := float64(failed) / answered
	if failed < minFailures || rate < outlierFailureRate {
		return 0
	}
	return rate
}

// onProbation reports whether the instance's last ejection ended less than probationTime ago.
func (s *instanceState) onProbation(now time.Time) bool {
	return s.ejectionCount > 0 && now.Sub(s.ejectedUntil) < probationTime
}

// isProbationRequest reports whether a request with this hash may go to an instance on probation.
func isProbationRequest(hash uint64) bool { return mix(hash)%probationDivisor == 0 }

// Ejection describes an instance that was ejected.
type Ejection struct {
	Instance chestnutcleat.InstanceID
	// FailureRate is the instance's failure rate.
	FailureRate float64
	Duration    time.Duration
}

// eject ejects the instances with the highest failure rates, as far as ejectionDivisor permits.
func eject(list []*instanceState, failureRates map[*instanceState]float64) []Ejection {
	now := time.Now()
	ejected := 0
	var failing []*instanceState
	for _, s := range list {
		switch {
		case now.Before(s.ejectedUntil):
			ejected++
		case failureRates[s] > 0:
			failing = append(failing, s)
		}
	}
	if 2*len(failing) > len(list) {
		// If most instances fail, the cause is probably not the instances.
		return nil
	}
	slices.SortFunc(failing, func(a, b *instanceState) int { return cmp.Compare(failureRates[b], failureRates[a]) })
	var out []Ejection
	for _, s := range failing {
		if (ejected+1)*ejectionDivisor > len(list) {
			break
		}
		ejected++
		if now.Sub(s.ejectedUntil) > maxEjectionTime {
			s.ejectionCount = 0
		}
		duration := min(minEjectionTime<<s.ejectionCount, maxEjectionTime)
		s.ejectionCount = min(s.ejectionCount+1, maxEjectionCount)
		s.ejectedUntil = now.Add(duration)
		out = append(out, Ejection{Instance: s.ID, FailureRate: failureRates[s], Duration: duration})
	}
	return out
}
