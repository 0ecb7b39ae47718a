package logs

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"time"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/event"
)

// Cause is why a request or its program was lost or late.
type Cause string

// Causes.
const (
	CauseRateAtStart      Cause = "rate at the first request"
	CauseRateInProgress   Cause = "rate in the middle of a program"
	CauseTooManyPrograms  Cause = "too many programs of the customer"
	CauseNoInstance       Cause = "no instance"
	CauseAllDepart        Cause = "all instances leave"
	CauseDeparted         Cause = "moved, as its instance leaves"
	CauseFailedInstance   Cause = "failed instance"
	CauseDeadline         Cause = "deadline"
	CauseRecords          Cause = "records or configuration not ready"
	CauseBudget           Cause = "budget"
	CauseUnknownTurn      Cause = "unknown turn"
	CauseSlowAnswer       Cause = "slow answer"
	CauseOtherRefusal     Cause = "other refusal"
	CauseCallerDisconnect Cause = "caller disconnected"
)

// causesOfCodes maps the codes of refusals to causes, except for a rate that was exceeded.
var causesOfCodes = map[chestnutcleat.Code]Cause{
	chestnutcleat.CodePrograms: CauseTooManyPrograms, chestnutcleat.CodeBusy: CauseNoInstance, chestnutcleat.CodeUpstreamError: CauseFailedInstance,
	chestnutcleat.CodeDeadline: CauseDeadline, chestnutcleat.CodeNotReady: CauseRecords, chestnutcleat.CodeBudget: CauseBudget,
	chestnutcleat.CodeProgramUnknown: CauseUnknownTurn,
}

// departureDelay is the time within which a VM learns from others that an instance leaves.
const departureDelay = time.Second

// Grouping selects what the rows of an account are divided by besides their cause.
type Grouping string

// Groupings.
const (
	ByCustomer Grouping = "customer"
	ByRoute    Grouping = "route"
	BySecond   Grouping = "second"
)

// AccountRow counts what was lost or late for one cause.
type AccountRow struct {
	Cause Cause
	// Group is the customer or route, or the second since the first line.
	Group string
	// Requests counts requests, Programs their programs, and Ended the programs whose last line has the cause.
	Requests, Programs, Ended int
}

// Account counts the requests that logs show as lost or late, by cause. Answers that took longer than slow are late.
func Account(by Grouping, slow time.Duration, logs ...io.Reader) (rows []AccountRow, programs, unparsed int, err error) {
	a, unparsed, err := newAccountLog(logs...)
	if err != nil {
		return nil, 0, unparsed, err
	}
	type key struct {
		cause Cause
		group string
	}
	sums := map[key]*AccountRow{}
	for _, lines := range a.byProgram {
		answered := false
		counted := map[key]bool{}
		for i := range lines {
			l := &lines[i]
			cause := a.cause(l, answered, slow)
			answered = answered || l.Event == event.Answered
			if cause == "" {
				continue
			}
			k := key{cause, l.group(by, a.start)}
			row := sums[k]
			if row == nil {
				row = &AccountRow{Cause: cause, Group: k.group}
				sums[k] = row
			}
			row.Requests++
			if !counted[k] {
				counted[k] = true
				row.Programs++
			}
			if i == len(lines)-1 {
				row.Ended++
			}
		}
	}
	for _, row := range sums {
		rows = append(rows, *row)
	}
	slices.SortFunc(rows, func(a, b AccountRow) int {
		return cmp.Or(cmp.Compare(b.Ended, a.Ended), cmp.Compare(b.Requests, a.Requests), cmp.Compare(a.Cause, b.Cause), cmp.Compare(a.Group, b.Group))
	})
	return rows, len(a.byProgram), unparsed, nil
}

// accountLog is what an account is made of.
type accountLog struct {
	// byProgram has the lines about requests of each program in order of time.
	byProgram map[string][]Line
	// departures has the times at which a VM learned that an instance leaves.
	departures map[vmInstance][]time.Time
	// start is the time of the first line.
	start time.Time
}

// vmInstance is an instance as seen by a VM.
type vmInstance struct {
	vm       chestnutcleat.VMID
	instance string
}

func (l *Line) vmInstance() vmInstance {
	id, _ := l.Attributes["instance"].(string)
	return vmInstance{l.VM, id}
}

// newAccountLog reads logs, and returns the number of lines that could not be parsed.
func newAccountLog(logs ...io.Reader) (a *accountLog, unparsed int, err error) {
	a = &accountLog{byProgram: map[string][]Line{}, departures: map[vmInstance][]time.Time{}}
	for i, r := range logs {
		n, err := scanLines(r, a.add)
		unparsed += n
		if err != nil {
			return nil, unparsed, fmt.Errorf("log %d: %w", i+1, err)
		}
	}
	for _, lines := range a.byProgram {
		slices.SortStableFunc(lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
	}
	return a, unparsed, nil
}

func (a *accountLog) add(l Line) {
	if a.start.IsZero() || l.Time.Before(a.start) {
		a.start = l.Time
	}
	if l.Event == event.InstanceDeparted {
		a.departures[l.vmInstance()] = append(a.departures[l.vmInstance()], l.Time)
		return
	}
	if p, _ := l.Attributes["program"].(string); p != "" && l.isRequestLine() {
		a.byProgram[p] = append(a.byProgram[p], l)
	}
}

// departed reports whether the VM of a failed attempt knew by then, or soon after, that the instance leaves.
func (a *accountLog) departed(l *Line) bool {
	return slices.ContainsFunc(a.departures[l.vmInstance()], func(at time.Time) bool {
		since := l.Time.Sub(at)
		return since >= -departureDelay && since <= departureSpan
	})
}

// cause returns why the line's request was lost or late, or an empty cause. answered is set if its program had an answer before.
func (a *accountLog) cause(l *Line, answered bool, slow time.Duration) Cause {
	switch l.Event {
	case event.Answered:
		if age, _ := l.Attributes["age"].(float64); slow > 0 && time.Duration(age)*time.Millisecond > slow {
			return CauseSlowAnswer
		}
	case event.AttemptFailed:
		if a.departed(l) {
			return CauseDeparted
		}
		return CauseFailedInstance
	case event.CallerDisconnected:
		return CauseCallerDisconnect
	case event.Refused:
		return l.refusalCause(answered)
	}
	return ""
}

func (l *Line) refusalCause(answered bool) Cause {
	code, _ := l.Attributes["code"].(string)
	if chestnutcleat.Code(code) == chestnutcleat.CodeRate {
		if answered {
			return CauseRateInProgress
		}
		return CauseRateAtStart
	}
	if all, _ := l.Attributes["departing"].(bool); all {
		return CauseAllDepart
	}
	if c, ok := causesOfCodes[chestnutcleat.Code(code)]; ok {
		return c
	}
	return CauseOtherRefusal
}

func (l *Line) group(by Grouping, start time.Time) string {
	if by == BySecond {
		return fmt.Sprintf("%4d", int(l.Time.Sub(start).Seconds()))
	}
	value, _ := l.Attributes[string(by)].(string)
	return value
}
