package logs

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"time"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/event"
)

const (
	// maxLine bounds a log line in bytes.
	maxLine = 1 << 20
	// departureSpan is the longest time between a failed attempt and the line that says that its instance leaves. A line further away may be
	// about another start of the instance.
	departureSpan = 10 * time.Minute
)

// Line is a parsed log line.
type Line struct {
	Time  time.Time
	VM    chestnutcleat.VMID
	Event chestnutcleat.EventID
	Text  string
	// Attributes are the line's remaining fields.
	Attributes map[string]any
}

// lineFields are the fields common to all lines.
type lineFields struct {
	Time  time.Time             `json:"time"`
	VM    chestnutcleat.VMID    `json:"vm"`
	Event chestnutcleat.EventID `json:"event"`
	Text  string                `json:"msg"`
}

// standardFields are removed from the attributes of a line.
var standardFields = []string{"time", "vm", "event", "msg", "level", "action"}

// HasValue reports whether an attribute has the id as its value.
func (l *Line) HasValue(id string) bool {
	for _, v := range l.Attributes {
		if v == id {
			return true
		}
	}
	return false
}

// isRequestLine reports whether the line is about a request or call.
func (l *Line) isRequestLine() bool {
	_, request := l.Attributes["request"]
	_, call := l.Attributes["call"]
	return request || call
}

// parseLine decodes a JSON line. Text before the first brace, such as a log collector's prefix, is skipped.
func parseLine(data []byte) (Line, error) {
	if i := bytes.IndexByte(data, '{'); i > 0 {
		data = data[i:]
	}
	var f lineFields
	if err := json.Unmarshal(data, &f); err != nil {
		return Line{}, err
	}
	l := Line{Time: f.Time, VM: f.VM, Event: f.Event, Text: f.Text}
	if err := json.Unmarshal(data, &l.Attributes); err != nil {
		return Line{}, err
	}
	for _, name := range standardFields {
		delete(l.Attributes, name)
	}
	return l, nil
}

// scanLines calls a function for each line of a log, and returns the number of lines that could not be parsed.
func scanLines(r io.Reader, f func(Line)) (unparsed int, err error) {
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLine)
	for s.Scan() {
		l, err := parseLine(s.Bytes())
		if err != nil {
			unparsed++
			continue
		}
		f(l)
	}
	return unparsed, s.Err()
}

// Timeline selects the log lines with an attribute that equals the id, for example a request or program, and the lines not
// about requests that the same VMs wrote from the given time before the first to the same time after the last of them. For each failed
// attempt it adds the line by which its VM learned that the instance leaves, if there is one.
// It returns the lines sorted by time and the number of lines that could not be parsed.
func Timeline(id string, around time.Duration, logs ...io.Reader) (list []Line, unparsed int, err error) {
	var matched, unmatched, departures []Line
	for i, r := range logs {
		n, err := scanLines(r, func(l Line) {
			switch {
			case l.HasValue(id):
				matched = append(matched, l)
			case l.Event == event.InstanceDeparted:
				departures = append(departures, l)
			case around > 0 && !l.isRequestLine():
				unmatched = append(unmatched, l)
			}
		})
		unparsed += n
		if err != nil {
			return nil, unparsed, fmt.Errorf("read log %d: %w", i+1, err)
		}
	}
	related, others := splitDepartures(matched, departures)
	if around > 0 {
		unmatched = append(unmatched, slices.DeleteFunc(others, func(l Line) bool { return l.isRequestLine() })...)
	}
	list = slices.Concat(matched, related, contextLines(matched, unmatched, around))
	slices.SortStableFunc(list, func(a, b Line) int { return a.Time.Compare(b.Time) })
	return list, unparsed, nil
}

// splitDepartures divides the lines about instances that leave into those of the instances and VMs of failed attempts in the matched
// lines, and the others.
func splitDepartures(matched, departures []Line) (related, others []Line) {
	for _, d := range departures {
		isRelated := func(l Line) bool {
			return l.Event == event.AttemptFailed && l.VM == d.VM && l.Attributes["instance"] == d.Attributes["instance"] &&
				l.Time.Sub(d.Time).Abs() <= departureSpan
		}
		if slices.ContainsFunc(matched, isRelated) {
			related = append(related, d)
		} else {
			others = append(others, d)
		}
	}
	return related, others
}

// contextLines selects the lines that the VMs of the matched lines wrote around the time of these.
func contextLines(matched, unmatched []Line, around time.Duration) []Line {
	if len(matched) == 0 {
		return nil
	}
	first, last := matched[0].Time, matched[0].Time
	vms := map[chestnutcleat.VMID]bool{}
	for _, l := range matched {
		vms[l.VM] = true
		if l.Time.Before(first) {
			first = l.Time
		}
		if l.Time.After(last) {
			last = l.Time
		}
	}
	return slices.DeleteFunc(unmatched, func(l Line) bool {
		return !vms[l.VM] || l.Time.Before(first.Add(-around)) || l.Time.After(last.Add(around))
	})
}
