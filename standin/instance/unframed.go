package instance

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"
)

// unframedProtocols are the protocols of answers without length and chunks.
var unframedProtocols = []string{"HTTP/1.0", "HTTP/1.1"}

// lingerer is a connection whose Close can reset it.
type lingerer interface{ SetLinger(seconds int) error }

// writeUnframed sends an answer without length and chunks, which ends with its connection. The fraction cutRate of them is cut: a
// stream inside an event or by a reset, and any other answer by a reset.
func writeUnframed(w http.ResponseWriter, id string, run *Run, f *Faults) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer c.Close()
	header := w.Header().Clone()
	if rand.IntN(2) == 0 {
		header.Set("Connection", "close")
	}
	var head strings.Builder
	fmt.Fprintf(&head, "%s 200 OK\r\n", unframedProtocols[rand.IntN(len(unframedProtocols))])
	parts := []string{Answer(id, run.Body)}
	if strings.HasPrefix(run.Path, StreamPrefix) {
		header.Set("Content-Type", "text/event-stream")
		parts = eventsAfter(StreamName(run.Path, id), run)
	}
	if err := header.Write(&head); err != nil {
		return
	}
	cut := rand.Float64() < f.CutRate
	if cut {
		parts = cutParts(parts)
	}
	for i, part := range append([]string{head.String() + "\r\n"}, parts...) {
		if i > 0 {
			time.Sleep(eventInterval + f.Delay)
		}
		if _, err := io.WriteString(c, part); err != nil {
			return
		}
	}
	if isStream := len(parts) > 0 && strings.HasPrefix(run.Path, StreamPrefix); cut && !(isStream && endsInsideEvent(parts) && rand.IntN(2) == 0) {
		reset(c)
	}
}

// eventsAfter returns the events of a stream that a run sends.
func eventsAfter(name string, run *Run) []string {
	var list []string
	for n := max(1, run.LastEventID+1); n <= EventCount(name); n++ {
		list = append(list, eventText(name, run.Version, n))
	}
	return list
}

func eventText(name, version string, n int) string {
	return fmt.Sprintf("id: %d\ndata: %s\n\n", n, EventData(name, version, n))
}

// cutParts cuts an answer at a random byte of a random part.
func cutParts(parts []string) []string {
	if len(parts) == 0 {
		return nil
	}
	i := rand.IntN(len(parts))
	part := parts[i]
	return append(parts[:i:i], part[:rand.IntN(len(part))])
}

// endsInsideEvent reports whether the last part of a stream is a piece of an event.
func endsInsideEvent(parts []string) bool { return parts[len(parts)-1] != "" }

// reset lets the end of the connection be a reset.
func reset(c net.Conn) {
	if l, ok := c.(lingerer); ok {
		// The error is ignored: the connection may be closed already.
		_ = l.SetLinger(0)
	}
}
