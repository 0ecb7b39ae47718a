package rate

import (
	"hash/fnv"
	"math"
	"time"

	"chestnutcleat.example/chestnutcleat"
)

const (
	// programIdleTime is the time without a request after which a program counts as ended.
	programIdleTime = 700 * time.Millisecond
	// scarcityTime is how long a customer counts as near its limit after its tokens were short at a VM.
	scarcityTime = 5 * time.Second
	// lowShare is the part of a VM's own share below which its tokens are short.
	lowShare = 0.5
	// plentyShare is the part of a customer's tokens from which on, if it is left over all VMs, no program is refused.
	plentyShare = 0.5
	// repeatedShare is the part of the refused requests of programs that repeat an earlier one.
	repeatedShare = 2.0 / 3
	// requestAveragingTime is the time constant of the request rate of a customer's programs.
	requestAveragingTime = time.Second
	// programAveragingTime is the time constant of the request rate of one program, which changes little.
	programAveragingTime = 10 * time.Second
	// reportDelay is the time for which starts are not in the reports yet.
	reportDelay = 300 * time.Millisecond
	// usualWeight is the weight of what all programs usually send, in reports of one program, against what a customer's programs send.
	usualWeight = 20
	// carriedShare is the part of a customer's rate that its programs in progress may need. The rest is for their variation.
	carriedShare = 0.9
	// minRatePerProgram is the least number of requests per second that a program is taken to send.
	minRatePerProgram = 0.1
	// sampleDivisor is the number of programs of which one is sampled, to learn what a program usually sends.
	sampleDivisor = 8
	// maxPrograms bounds the programs of a customer that a VM keeps track of.
	maxPrograms = 4096
	// startRetryAfter is the least time after which a refused program is told to return; up to as much again is added.
	startRetryAfter = 500 * time.Millisecond
)

// programHash identifies a program in reports.
type programHash uint32

func (p programHash) sampled() bool { return p%sampleDivisor == 0 }

func hashProgram(c chestnutcleat.CustomerID, p chestnutcleat.ProgramID) programHash {
	h := fnv.New32a()
	_, _ = h.Write([]byte(c + "/"))
	_, _ = h.Write([]byte(p))
	return programHash(h.Sum32())
}

// activity tracks the programs of one customer. Once tokens are short, it bounds how many are in progress over all VMs, so that
// those under way get the tokens to end: a program that is refused in the middle has used tokens for nothing.
type activity struct {
	own map[programHash]*programState
	// ownRate is an average of requests per second at this VM, as of updated.
	ownRate float64
	updated time.Time
	// scarceAt is when tokens were last short at this VM.
	scarceAt time.Time
	// others is what the other VMs report.
	others        Activity
	otherPrograms map[programHash]bool
	// requests and programs are sums over reports, in which older ones count less; their quotient is the request rate of a program.
	requests, programs float64
	// ownStarts is an average of the programs per second that ask to begin at this VM, as of updated.
	ownStarts float64
	// startChance is the probability with which a program may begin.
	startChance float64
}

// programState is a program that this VM serves.
type programState struct {
	lastRequest time.Time
	inFlight    int
}

func (p *programState) inProgress(now time.Time) bool {
	return p.inFlight > 0 || now.Sub(p.lastRequest) < programIdleTime
}

// isKnown reports whether the program is in progress at any VM.
func (a *activity) isKnown(p programHash, now time.Time) bool {
	if s := a.own[p]; s != nil && s.inProgress(now) {
		return true
	}
	return a.otherPrograms[p]
}

// begin counts a request of a program.
func (a *activity) begin(p programHash, now time.Time) {
	a.decay(now)
	a.ownRate += 1 / requestAveragingTime.Seconds()
	s := a.own[p]
	if s == nil {
		if len(a.own) >= maxPrograms {
			return
		}
		s = &programState{}
		if a.own == nil {
			a.own = map[programHash]*programState{}
		}
		a.own[p] = s
	}
	s.lastRequest = now
	s.inFlight++
}

// refused records that a request of a program in progress was refused. Its caller sends it again, which counts as the same request.
func (a *activity) refused(now time.Time) {
	a.decay(now)
	a.ownRate = max(0, a.ownRate-repeatedShare/requestAveragingTime.Seconds())
}

// end records that a request of a program has ended.
func (a *activity) end(p programHash, now time.Time) {
	if s := a.own[p]; s != nil {
		s.lastRequest = now
		s.inFlight = max(0, s.inFlight-1)
	}
}

func (a *activity) decay(now time.Time) {
	keep := math.Exp(-now.Sub(a.updated).Seconds() / requestAveragingTime.Seconds())
	a.ownRate *= keep
	a.ownStarts *= keep
	a.updated = now
}

// scarce reports whether tokens were short recently at any VM.
func (a *activity) scarce(now time.Time) bool {
	return a.others.Scarce || a.ownScarce(now)
}

func (a *activity) ownScarce(now time.Time) bool {
	return !a.scarceAt.IsZero() && now.Sub(a.scarceAt) < scarcityTime
}

// report returns the activity at this VM, and drops the programs that have ended.
func (a *activity) report(left float64, now time.Time) Activity {
	a.decay(now)
	r := Activity{Rate: a.ownRate, Starts: a.ownStarts, Left: max(0, left), Scarce: a.ownScarce(now), VMs: 1}
	for p, s := range a.own {
		if !s.inProgress(now) {
			delete(a.own, p)
			continue
		}
		r.Programs = append(r.Programs, uint32(p))
	}
	return r
}

// fleetActivity sums up the activity at all VMs.
type fleetActivity struct {
	programs           int
	rate, starts, left float64
	vms                int
}

// merge takes over what the other VMs report, and returns the activity at all VMs; left is the number of tokens left at this one.
func (a *activity) merge(others Activity, left float64, now time.Time) fleetActivity {
	a.others = others
	a.otherPrograms = make(map[programHash]bool, len(others.Programs))
	for _, p := range others.Programs {
		a.otherPrograms[programHash(p)] = true
	}
	own := a.report(left, now)
	s := fleetActivity{
		programs: len(a.otherPrograms), rate: own.Rate + others.Rate, starts: own.Starts + others.Starts, left: own.Left + others.Left,
		vms: own.VMs + others.VMs,
	}
	for _, p := range own.Programs {
		if !a.otherPrograms[programHash(p)] {
			s.programs++
		}
	}
	return s
}

// learn takes the activity at all VMs into the average, if at least half of the fleet's VMs report it.
func (a *activity) learn(s fleetActivity, vms int, interval time.Duration) {
	if 2*s.vms < vms {
		return
	}
	keep := math.Exp(-interval.Seconds() / programAveragingTime.Seconds())
	a.requests = a.requests*keep + s.rate
	a.programs = a.programs*keep + float64(s.programs)
}

// perProgram returns the average number of requests per second of a program, or zero if it is not known. usual is what programs of all customers send; it counts
// as much as usualWeight reports of one program.
func (a *activity) perProgram(usual float64) float64 {
	switch {
	case usual == 0 && a.programs == 0:
		return 0
	case usual == 0:
		return a.requests / a.programs
	}
	return (a.requests + usual*usualWeight) / (a.programs + usualWeight)
}

// allowStarts renews the probability with which a program may begin until the next reports. It is the same at all VMs, so that all
// starts together take what is free, wherever they arrive.
func (a *activity) allowStarts(s fleetActivity, windowTokens, perSecond, perProgram float64) {
	if perProgram == 0 || s.left >= plentyShare*windowTokens {
		a.startChance = 1
		return
	}
	free := carriedShare*perSecond/max(perProgram, minRatePerProgram) - float64(s.programs)
	a.startChance = max(0, free) / max(1, s.starts*reportDelay.Seconds())
}

// mayStart decides whether a program may begin at this VM; draw is uniform in [0, 1).
func (a *activity) mayStart(now time.Time, draw float64) bool {
	a.decay(now)
	a.ownStarts += 1 / requestAveragingTime.Seconds()
	return !a.scarce(now) || draw < a.startChance
}

// startRetry returns the time after which a refused program may return; draw is uniform in [0, 1).
func startRetry(draw float64) time.Duration {
	return startRetryAfter + time.Duration(draw*float64(startRetryAfter))
}
