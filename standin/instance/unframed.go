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

// writeUnframed sends an answer without length and chunks, which ends with its connection. The fraction CutRate is cut: a
// stream inside an event or by a reset, and any other answer by a reset.
func writeUnframed(w http.ResponseWriter, id string, run *Run, f *Faults) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer c.Close()
	header, parts := w.Header().Clone(), []string{Answer(id, run.Body)}
	isStream := strings.HasPrefix(run.Path, StreamPrefix)
	if isStream {
		header.Set("Content-Type", "text/event-stream")
		parts = eventsAfter(StreamName(run.Path, id), run)
	}
	cut := rand.Float64() < f.CutRate
	if cut {
		parts = cutParts(parts)
	}
	if writeParts(c, append([]string{unframedHead(header)}, parts...), eventInterval+f.Delay) != nil {
		return
	}
	isCutInEvent := isStream && len(parts) > 0 && parts[len(parts)-1] != ""
	if cut && !(isCutInEvent && rand.IntN(2) == 0) {
		reset(c)
	}
}

// unframedHead returns the head of an answer; half of the answers say that the connection is closed.
func unframedHead(header http.Header) string {
	if rand.IntN(2) == 0 {
		header.Set("Connection", "close")
	}
	var b strings.Builder
	fmt.Fprintf(&b, "%s 200 OK\r\n", unframedProtocols[rand.IntN(len(unframedProtocols))])
	// Writing to a Builder does not fail.
	_ = header.Write(&b)
	return b.String() + "\r\n"
}

// writeParts writes the parts with a pause between them.
func writeParts(w io.Writer, parts []string, pause time.Duration) error {
	for i, part := range parts {
		if i > 0 {
			time.Sleep(pause)
		}
		if _, err := io.WriteString(w, part); err != nil {
			return err
		}
	}
	return nil
}

// eventsAfter returns the events that a run of a stream sends, those after the last one that the client has.
func eventsAfter(name string, run *Run) []string {
	var list []string
	for n := max(1, run.LastEventID+1); n <= EventCount(name); n++ {
		list = append(list, eventText(name, run.Version, n))
	}
	return list
}

// eventText returns event n of a stream as it is sent.
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

// reset makes the connection end with a reset when it is closed.
func reset(c net.Conn) {
	if l, ok := c.(lingerer); ok {
		// The error is ignored: the connection may be closed already.
		_ = l.SetLinger(0)
	}
}
