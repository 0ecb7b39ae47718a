package place

import (
	"cmp"
	"slices"
	"time"

	"chestnutcleat.example/chestnutcleat"
)

const (
	// tallyTime is the span over which answers are counted, in tallySlots parts.
	tallyTime  = 3 * time.Second
	tallySlots = 3
	// failingShare is the part of its answers from which an instance counts as failing, if it failed at least failingLeast times:
	// tools answer some requests with an error of their own.
	failingShare = 0.3
	failingLeast = 3
	// ejectedShare is the largest part of a service that gets no work at one time.
	ejectedShare = 4
	// firstEjection and longestEjection bound how long an instance gets no work; each time it fails again the time doubles. In the
	// first one the failures that led to it leave the counts.
	firstEjection   = tallyTime
	longestEjection = 12 * time.Second
	// trialTime is how long an instance gets one in trialShare of its work after a rest, and trialLeast how often it may fail then.
	trialTime  = tallyTime
	trialShare = 8
	trialLeast = 2
	// maxEjections keeps the doubling within its type.
	maxEjections = 8
)

// Tally counts answers of instances over tallyTime.
type Tally struct {
	// Answered are the requests that a service's instances ended, with or without success.
	Answered map[chestnutcleat.ServiceName]int `json:"answered,omitempty"`
	// Failed are those that an instance ended with an error of its own or spoiled.
	Failed map[chestnutcleat.InstanceID]int `json:"failed,omitempty"`
}

// Add adds another VM's counts.
func (t *Tally) Add(o Tally) {
	if t.Answered == nil {
		t.Answered, t.Failed = map[chestnutcleat.ServiceName]int{}, map[chestnutcleat.InstanceID]int{}
	}
	for s, n := range o.Answered {
		t.Answered[s] += max(0, n)
	}
	for i, n := range o.Failed {
		t.Failed[i] += max(0, n)
	}
}

// tallies are this VM's own counts, by the slot of the time since the table was made.
type tallies struct {
	begun time.Time
	slots [tallySlots]Tally
	// last is the number of the slot that is counted in.
	last int
}

// turn moves on to the present slot and forgets those that are too old.
func (t *tallies) turn(now time.Time) *Tally {
	n := int(now.Sub(t.begun) / (tallyTime / tallySlots))
	for i := t.last + 1; i <= n && i <= t.last+tallySlots; i++ {
		t.slots[i%tallySlots] = Tally{}
	}
	t.last = n
	return &t.slots[n%tallySlots]
}

func (t *tallies) count(s chestnutcleat.ServiceName, i chestnutcleat.InstanceID, failed bool) {
	one := Tally{Answered: map[chestnutcleat.ServiceName]int{s: 1}}
	if failed {
		one.Failed = map[chestnutcleat.InstanceID]int{i: 1}
	}
	t.turn(time.Now()).Add(one)
}

// sum returns the counts of all slots.
func (t *tallies) sum() Tally {
	t.turn(time.Now())
	var out Tally
	for _, s := range t.slots {
		out.Add(s)
	}
	return out
}

// Tally returns what this VM's requests met.
func (t *Table) Tally() Tally {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.tallies.sum()
}

// Judge takes instances that fail much of their work out of use for a while. Tallies are those of groups of VMs, without this
// one, which is added to each: all VMs, or those of this VM's failure domain, as an instance may fail for one domain only.
func (t *Table) Judge(groups ...Tally) []Ejection {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Ejection
	own := t.tallies.sum()
	sums := make([]Tally, len(groups))
	for i, g := range groups {
		sums[i].Add(g)
		sums[i].Add(own)
	}
	for _, list := range t.services {
		shares := map[*state]float64{}
		for _, all := range sums {
			for _, s := range list {
				shares[s] = max(shares[s], s.failing(all, len(list)))
			}
		}
		out = append(out, eject(list, shares)...)
	}
	return out
}

// failing returns the part of an instance's answers that failed, zero if that is within what a sound one shows. What it
// answered is taken to be what the instances of its service did in the mean.
func (s *state) failing(t Tally, instances int) float64 {
	least, answered := failingLeast, float64(max(1, t.Answered[s.Service]))/float64(instances)
	if s.onTrial(time.Now()) {
		least, answered = trialLeast, answered/trialShare
	}
	failed := t.Failed[s.ID]
	share := float64(failed) / answered
	if failed < least || share < failingShare {
		return 0
	}
	return share
}

// onTrial reports whether the instance came back from a rest just now.
func (s *state) onTrial(now time.Time) bool { return s.ejections > 0 && now.Sub(s.ejected) < trialTime }

// isTrial reports whether a request with this hash is one that an instance on trial gets.
func isTrial(hash uint64) bool { return mix(hash)%trialShare == 0 }

// Ejection is an instance that is taken out of use.
type Ejection struct {
	Instance chestnutcleat.InstanceID
	// Share is the part of its answers that failed.
	Share float64
	Rest  time.Duration
}

// eject takes the instances that fail most out of use, as far as enough are left.
func eject(list []*state, shares map[*state]float64) []Ejection {
	now := time.Now()
	ejected := 0
	var failing []*state
	for _, s := range list {
		switch {
		case now.Before(s.ejected):
			ejected++
		case shares[s] > 0:
			failing = append(failing, s)
		}
	}
	if 2*len(failing) > len(list) {
		// What most instances fail at is not their fault.
		return nil
	}
	slices.SortFunc(failing, func(a, b *state) int { return cmp.Compare(shares[b], shares[a]) })
	var out []Ejection
	for _, s := range failing {
		if (ejected+1)*ejectedShare > len(list) {
			break
		}
		ejected++
		if now.Sub(s.ejected) > longestEjection {
			s.ejections = 0
		}
		rest := min(firstEjection<<s.ejections, longestEjection)
		s.ejections = min(s.ejections+1, maxEjections)
		s.ejected = now.Add(rest)
		out = append(out, Ejection{Instance: s.ID, Share: shares[s], Rest: rest})
	}
	return out
}
