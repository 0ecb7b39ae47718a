package caller

import (
	"errors"
	"io"
	"net/http"
	"time"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/event"
)

// readBody reads the body of a request, up to the manifest's limit, and refuses one that contains a key.
func (h *Handler) readBody(w http.ResponseWriter, r *http.Request, who identity) ([]byte, *chestnutcleat.Problem) {
	limit := h.Directory.Limits().MaxBodyBytes
	if limit == 0 {
		limit = chestnutcleat.DefaultMaxBodyBytes
	}
	if r.ContentLength > limit {
		return nil, notRunProblem(chestnutcleat.CodeTooLarge, "the body has more than %d bytes", limit)
	}
	c := http.NewResponseController(w)
	// Not every ResponseWriter supports deadlines; without them the server's timeouts apply.
	_ = c.SetReadDeadline(time.Now().Add(readBodyTimeout))
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	_ = c.SetReadDeadline(time.Time{})
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		return nil, notRunProblem(chestnutcleat.CodeTooLarge, "the body has more than %d bytes", limit)
	case err != nil:
		return nil, notRunProblem(chestnutcleat.CodeBadRequest, "the body could not be read")
	case h.bodyExposesKey(data, who.key):
		h.emit(event.KeyExposed, "remote", r.RemoteAddr, "customer", who.customer)
		return nil, keyExposedProblem()
	}
	return data, nil
}
