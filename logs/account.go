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
	byProgram, start, unparsed, err := programLines(logs...)
	if err != nil {
		return nil, 0, unparsed, err
	}
	type key struct {
		cause Cause
		group string
	}
	sums := map[key]*AccountRow{}
	for _, lines := range byProgram {
		answered := false
		counted := map[key]bool{}
		for i := range lines {
			l := &lines[i]
			cause := l.cause(answered, slow)
			answered = answered || l.Event == event.Answered
			if cause == "" {
				continue
			}
			k := key{cause, l.group(by, start)}
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
	return rows, len(byProgram), unparsed, nil
}

// programLines returns the lines about requests of each program in order of time, and the time of the first line.
func programLines(logs ...io.Reader) (byProgram map[string][]Line, start time.Time, unparsed int, err error) {
	byProgram = map[string][]Line{}
	for i, r := range logs {
		n, err := scanLines(r, func(l Line) {
			if start.IsZero() || l.Time.Before(start) {
				start = l.Time
			}
			if p, _ := l.Attributes["program"].(string); p != "" && l.isRequestLine() {
				byProgram[p] = append(byProgram[p], l)
			}
		})
		unparsed += n
		if err != nil {
			return nil, start, unparsed, fmt.Errorf("log %d: %w", i+1, err)
		}
	}
	for _, lines := range byProgram {
		slices.SortStableFunc(lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
	}
	return byProgram, start, unparsed, nil
}

// cause returns why the line's request was lost or late, or an empty cause. answered is set if its program had an answer before.
func (l *Line) cause(answered bool, slow time.Duration) Cause {
	switch l.Event {
	case event.Answered:
		if age, _ := l.Attributes["age"].(float64); slow > 0 && time.Duration(age)*time.Millisecond > slow {
			return CauseSlowAnswer
		}
	case event.AttemptFailed:
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
