package caller

import (
	"fmt"
	"net/http"
	"time"
)

// writeTimeout limits each write to a slow caller.
const writeTimeout = 30 * time.Second

// eventWriter writes server-sent events.
type eventWriter struct {
	w             http.ResponseWriter
	headerWritten bool
	failed        bool
}

// send writes and flushes one event; after a failed write it does nothing.
func (e *eventWriter) send(name string, data []byte) {
	if e.failed {
		return
	}
	c := http.NewResponseController(e.w)
	if !e.headerWritten {
		e.headerWritten = true
		e.w.Header().Set("Content-Type", typeEvents)
		e.w.Header().Set("Cache-Control", "no-store")
		e.w.WriteHeader(http.StatusOK)
	}
	// Not every ResponseWriter supports deadlines.
	_ = c.SetWriteDeadline(time.Now().Add(writeTimeout))
	if name != "" {
		name = "event: " + name + "\n"
	}
	if _, err := fmt.Fprintf(e.w, "%sdata: %s\n\n", name, data); err != nil {
		e.failed = true
		return
	}
	e.failed = c.Flush() != nil
	_ = c.SetWriteDeadline(time.Time{})
}
