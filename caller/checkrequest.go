package caller

import (
	"net/http"
	"strings"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/event"
)

// singleHeaders must not be repeated: it would be ambiguous which value applies.
var singleHeaders = []string{
	"Authorization", "Content-Encoding", "Content-Length", "Content-Type", "Host", "Transfer-Encoding",
	headerCallID, headerProgram, headerAfter, headerParent, headerBudget, headerDeadline,
}

// checkRequest validates the header of a request and identifies the sender.
// net/http treats a request with both Content-Length and Transfer-Encoding as chunked. Its body is read completely and
// sent to the upstream with new framing, so that no request can be smuggled in it.
func (h *Handler) checkRequest(r *http.Request) (identity, *chestnutcleat.Problem) {
	size := len(r.RequestURI)
	for name, values := range r.Header {
		for _, v := range values {
			size += len(name) + len(v)
		}
	}
	if size > maxHeaderBytes {
		return identity{}, notRunProblem(chestnutcleat.CodeTooLarge, "the header has more than %d bytes", maxHeaderBytes)
	}
	for _, name := range singleHeaders {
		if len(r.Header.Values(name)) > 1 {
			return identity{}, notRunProblem(chestnutcleat.CodeBadRequest, "header %s occurs more than once", name)
		}
	}
	if r.Header.Get("Upgrade") != "" || len(r.Trailer) > 0 || r.Header.Get("Trailer") != "" {
		return identity{}, notRunProblem(chestnutcleat.CodeBadRequest, "upgrades and trailers are not supported")
	}
	if len(r.TransferEncoding) > 1 || len(r.TransferEncoding) == 1 && (r.TransferEncoding[0] != "chunked" || r.Header.Get("Content-Length") != "") {
		return identity{}, notRunProblem(chestnutcleat.CodeBadRequest, "the framing of the body is ambiguous")
	}
	if e := r.Header.Get("Content-Encoding"); e != "" && !strings.EqualFold(e, "identity") {
		return identity{}, notRunProblem(chestnutcleat.CodeBadRequest, "content encodings are not supported")
	}
	// This is checked before the sender is identified, so that a request that exposes a key gets no further.
	if h.exposesKey(r) {
		h.emit(event.KeyExposed, "remote", r.RemoteAddr)
		return identity{}, keyExposedProblem()
	}
	return h.identify(r)
}

func keyExposedProblem() *chestnutcleat.Problem {
	return notRunProblem(chestnutcleat.CodeKeyExposed, "a key is allowed in the Authorization header only; replace this key")
}
