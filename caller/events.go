package caller

import (
	"fmt"
	"net/http"
	"time"
)

// writeTimeout bounds how long one event may wait for a slow caller.
const writeTimeout = 30 * time.Second

// events writes server-sent events.
type events struct {
	w      http.ResponseWriter
	opened bool
	broken bool
}

// send writes one event and flushes it; after a failed write it does nothing.
func (e *events) send(name string, data []byte) {
	if e.broken {
		return
	}
	c := http.NewResponseController(e.w)
	if !e.opened {
		e.opened = true
		e.w.Header().Set("Content-Type", typeEvents)
		e.w.Header().Set("Cache-Control", "no-store")
		e.w.WriteHeader(http.StatusOK)
	}
	// Not every ResponseWriter has deadlines.
	_ = c.SetWriteDeadline(time.Now().Add(writeTimeout))
	if name != "" {
		name = "event: " + name + "\n"
	}
	if _, err := fmt.Fprintf(e.w, "%sdata: %s\n\n", name, data); err != nil {
		e.broken = true
		return
	}
	e.broken = c.Flush() != nil
	_ = c.SetWriteDeadline(time.Time{})
}
