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
)

// maxLine bounds a log line in bytes.
const maxLine = 1 << 20

// Line is a log line of one process.
type Line struct {
	Time  time.Time
	VM    chestnutcleat.VMID
	Event chestnutcleat.EventID
	Text  string
	// Attributes are the line's other fields.
	Attributes map[string]any
}

// lineFields are the fields that each line has.
type lineFields struct {
	Time  time.Time             `json:"time"`
	VM    chestnutcleat.VMID    `json:"vm"`
	Event chestnutcleat.EventID `json:"event"`
	Text  string                `json:"msg"`
}

// common lists the fields that are not attributes.
var common = []string{"time", "vm", "event", "msg", "level", "action"}

// Names reports whether an attribute has the id as its value.
func (l *Line) Names(id string) bool {
	for _, v := range l.Attributes {
		if v == id {
			return true
		}
	}
	return false
}

// ofRequest reports whether the line is about a request.
func (l *Line) ofRequest() bool {
	_, request := l.Attributes["request"]
	_, call := l.Attributes["call"]
	return request || call
}

// parseLine decodes a line in JSON, which may have a prefix of whatever collected it.
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
	for _, name := range common {
		delete(l.Attributes, name)
	}
	return l, nil
}

// Timeline selects the lines of several logs that name a request or program, and what the VMs of those lines came to
// believe within a time before the first and after the last of them. It returns the lines in order of time and the number of
// lines that could not be read.
func Timeline(id string, around time.Duration, logs ...io.Reader) (list []Line, unread int, err error) {
	var named, other []Line
	for i, r := range logs {
		s := bufio.NewScanner(r)
		s.Buffer(nil, maxLine)
		for s.Scan() {
			l, err := parseLine(s.Bytes())
			switch {
			case err != nil:
				unread++
			case l.Names(id):
				named = append(named, l)
			case around > 0 && !l.ofRequest():
				other = append(other, l)
			}
		}
		if err := s.Err(); err != nil {
			return nil, unread, fmt.Errorf("read log %d: %w", i+1, err)
		}
	}
	list = append(named, beliefs(named, other, around)...)
	slices.SortStableFunc(list, func(a, b Line) int { return a.Time.Compare(b.Time) })
	return list, unread, nil
}

// beliefs selects the lines of VMs that are among the named lines.
func beliefs(named, other []Line, around time.Duration) []Line {
	if len(named) == 0 {
		return nil
	}
	first, last := named[0].Time, named[0].Time
	vms := map[chestnutcleat.VMID]bool{}
	for _, l := range named {
		vms[l.VM] = true
		if l.Time.Before(first) {
			first = l.Time
		}
		if l.Time.After(last) {
			last = l.Time
		}
	}
	return slices.DeleteFunc(other, func(l Line) bool {
		return !vms[l.VM] || l.Time.Before(first.Add(-around)) || l.Time.After(last.Add(around))
	})
}
