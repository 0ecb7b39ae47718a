package logs

import (
	"bytes"
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"chestnutcleat.example/chestnutcleat/event"
)

// Lines of two VMs about one program must be sorted by time, with the state changes of these VMs at that time, and without
// the lines of other requests and other VMs.
func TestTimeline(t *testing.T) {
	const entry1 = `{"event":801,"msg":"configuration applied","number":7,"time":"2026-12-04T10:00:00.500Z","vm":"e1"}
{"event":851,"msg":"answered","program":"p1","request":"r1","time":"2026-12-04T10:00:01.250Z","vm":"e1"}
{"event":851,"msg":"answered","program":"p2","request":"r9","time":"2026-12-04T10:00:01.260Z","vm":"e1"}
not a log line
{"event":807,"msg":"VM is no longer heard","peer":"e3","time":"2026-12-04T10:00:09.000Z","vm":"e1"}
`
	const entry2 = `  12.250 e2 {"event":852,"msg":"refused","program":"p1","request":"r2","time":"2026-12-04T10:00:01.100Z","vm":"e2"}
`
	const entry3 = `{"event":803,"msg":"platform does not answer","time":"2026-12-04T10:00:01.000Z","vm":"e3"}
`
	for _, tt := range []struct {
		name, id string
		around   time.Duration
		want     string
	}{
		{"program", "p1", 0, "refused answered"},
		{"program with context", "p1", time.Second, "configuration applied, refused answered"},
		{"request", "r2", 0, "refused"},
		{"unknown", "r3", time.Second, ""},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			logs := []io.Reader{strings.NewReader(entry1), strings.NewReader(entry2), strings.NewReader(entry3)}
			list, unparsed, err := Timeline(tt.id, tt.around, logs...)
			is.NoErr(err)
			is.Equal(unparsed, 1)
			var texts []string
			for _, l := range list {
				texts = append(texts, l.Text)
			}
			is.Equal(strings.Join(texts, " "), strings.ReplaceAll(tt.want, ",", ""))
		})
	}
}

// Lines written by the observer must be parsed back, with times precise enough to sort lines within a second.
func TestTimelineOfObserver(t *testing.T) {
	is := is.New(t)
	var b bytes.Buffer
	o, err := New(&b, "info", "json", "e1")
	is.NoErr(err)
	before := time.Now().Truncate(time.Millisecond)
	o.Emit(event.Answered, "request", "r1", "status", 200)
	list, unparsed, err := Timeline("r1", 0, &b)
	is.NoErr(err)
	is.Equal(unparsed, 0)
	is.Equal(len(list), 1)
	is.Equal(list[0].Event, event.Answered)
	is.Equal(string(list[0].VM), "e1")
	is.True(!list[0].Time.Before(before))
}

// A request that was moved must show that its instance had left, also if another request, another source or another log line told it: the
// account of the request named only the failed attempt.
func TestTimelineShowsDeparture(t *testing.T) {
	const log = `{"event":864,"msg":"leaves","instance":"i1","by":"peer","time":"2026-12-04T09:30:00.100Z","vm":"e1"}
{"event":864,"msg":"leaves","instance":"i1","by":"answer","request":"r0","time":"2026-12-04T10:00:00.100Z","vm":"e1"}
{"event":864,"msg":"leaves","instance":"i2","by":"peer","time":"2026-12-04T10:00:00.200Z","vm":"e1"}
{"event":864,"msg":"leaves","instance":"i1","by":"peer","time":"2026-12-04T10:00:00.300Z","vm":"e2"}
{"event":853,"msg":"failed","instance":"i1","request":"r1","ran":false,"time":"2026-12-04T10:00:00.400Z","vm":"e1"}
{"event":851,"msg":"answered","instance":"i2","request":"r1","time":"2026-12-04T10:00:00.500Z","vm":"e1"}
`
	for _, tt := range []struct {
		id     string
		around time.Duration
		want   string
	}{
		{"r1", 0, "leaves i1 e1, failed i1 e1, answered i2 e1"},
		{"r1", time.Minute, "leaves i1 e1, leaves i2 e1, failed i1 e1, answered i2 e1"},
		{"r0", 0, "leaves i1 e1"},
		{"i2", 0, "leaves i2 e1, answered i2 e1"},
	} {
		t.Run(fmt.Sprint(tt.id, " ", tt.around), func(t *testing.T) {
			is := is.New(t)
			list, _, err := Timeline(tt.id, tt.around, strings.NewReader(log))
			is.NoErr(err)
			var texts []string
			for _, l := range list {
				texts = append(texts, fmt.Sprint(l.Text, " ", l.Attributes["instance"], " ", l.VM))
			}
			is.Equal(strings.Join(texts, ", "), tt.want)
		})
	}
}
