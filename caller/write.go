package caller

import (
	"net/http"
	"strconv"
	"time"
)

// write sends a whole answer; a caller that reads too slowly is cut off.
func write(w http.ResponseWriter, status int, body []byte, bodyless bool) {
	c := http.NewResponseController(w)
	// Not every ResponseWriter has deadlines.
	_ = c.SetWriteDeadline(time.Now().Add(writeTimeout))
	if !bodyless {
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	}
	w.WriteHeader(status)
	// A failed write means that the caller left.
	_, _ = w.Write(body)
	_ = c.SetWriteDeadline(time.Time{})
}
