package caller

import (
	"errors"
	"io"
	"net/http"
	"time"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/event"
)

// body reads the whole body of a request within the manifest's limit.
func (h *Handler) body(w http.ResponseWriter, r *http.Request, who identity) ([]byte, *chestnutcleat.Problem) {
	limit := h.Directory.Limits().Body
	if limit == 0 {
		limit = chestnutcleat.DefaultBody
	}
	if r.ContentLength > limit {
		return nil, refusal(chestnutcleat.CodeTooLarge, "the body has more than %d bytes", limit)
	}
	c := http.NewResponseController(w)
	// Not every ResponseWriter has deadlines; then the server's own timeouts apply.
	_ = c.SetReadDeadline(time.Now().Add(bodyTimeout))
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	_ = c.SetReadDeadline(time.Time{})
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		return nil, refusal(chestnutcleat.CodeTooLarge, "the body has more than %d bytes", limit)
	case err != nil:
		return nil, refusal(chestnutcleat.CodeBadRequest, "the body could not be read")
	case h.exposedBody(data, who.key):
		h.emit(event.KeyExposed, "remote", r.RemoteAddr, "customer", who.customer)
		return nil, exposure()
	}
	return data, nil
}
