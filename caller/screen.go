package caller

import (
	"net/http"
	"strings"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/event"
)

// single lists the headers of which a second one would leave open which one counts.
var single = []string{
	"Authorization", "Content-Encoding", "Content-Length", "Content-Type", "Host", "Transfer-Encoding",
	headerCall, headerProgram, headerAfter, headerParent, headerBudget, headerDeadline,
}

// screen checks the header of a request and identifies the sender.
// A request with both Content-Length and Transfer-Encoding reaches the handler as a chunked one;
// its body is read whole and framed anew for the upstream, so that no other request can hide in it.
func (h *Handler) screen(r *http.Request) (identity, *chestnutcleat.Problem) {
	size := len(r.RequestURI)
	for name, values := range r.Header {
		for _, v := range values {
			size += len(name) + len(v)
		}
	}
	if size > maxHeader {
		return identity{}, refusal(chestnutcleat.CodeTooLarge, "the header has more than %d bytes", maxHeader)
	}
	for _, name := range single {
		if len(r.Header.Values(name)) > 1 {
			return identity{}, refusal(chestnutcleat.CodeBadRequest, "header %s occurs more than once", name)
		}
	}
	if r.Header.Get("Upgrade") != "" || len(r.Trailer) > 0 || r.Header.Get("Trailer") != "" {
		return identity{}, refusal(chestnutcleat.CodeBadRequest, "upgrades and trailers are not supported")
	}
	if len(r.TransferEncoding) > 1 || len(r.TransferEncoding) == 1 && (r.TransferEncoding[0] != "chunked" || r.Header.Get("Content-Length") != "") {
		return identity{}, refusal(chestnutcleat.CodeBadRequest, "the framing of the body is ambiguous")
	}
	if e := r.Header.Get("Content-Encoding"); e != "" && !strings.EqualFold(e, "identity") {
		return identity{}, refusal(chestnutcleat.CodeBadRequest, "content encodings are not supported")
	}
	// Exposure is checked first, so that a request that shows its key never gets further.
	if h.exposed(r) {
		h.emit(event.KeyExposed, "remote", r.RemoteAddr)
		return identity{}, exposure()
	}
	return h.identify(r)
}

func exposure() *chestnutcleat.Problem {
	return refusal(chestnutcleat.CodeKeyExposed, "a key is allowed in the Authorization header only; replace this key")
}
