package caller

import (
	"net/http"
	"strconv"
	"time"
)

// writeResponse writes a complete response; it gives up on a caller that does not read it within writeTimeout.
func writeResponse(w http.ResponseWriter, status int, body []byte, noBody bool) {
	c := http.NewResponseController(w)
	// Not every ResponseWriter supports deadlines.
	_ = c.SetWriteDeadline(time.Now().Add(writeTimeout))
	if !noBody {
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	}
	w.WriteHeader(status)
	// A failed write means that the caller disconnected or reads too slowly.
	_, _ = w.Write(body)
	_ = c.SetWriteDeadline(time.Time{})
}
