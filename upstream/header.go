package upstream

import "net/http"

// HeaderRequest identifies a request; the upstream echoes it.
const HeaderRequest = "X-Request-Id"

// requestHeaders are the headers of callers that upstreams see.
var requestHeaders = []string{"Accept", "Accept-Language", "Content-Language", "Content-Type", "If-Match", "If-None-Match", "Traceparent", "Tracestate"}

// answerHeaders are the headers of upstreams that callers see.
var answerHeaders = []string{"Content-Language", "Content-Type", "Etag", "Last-Modified", "Location"}

// RequestHeader returns the part of a caller's header that upstreams may see.
func RequestHeader(h http.Header) http.Header { return keep(h, requestHeaders) }

// AnswerHeader returns the part of an upstream's header that callers may see.
func AnswerHeader(h http.Header) http.Header { return keep(h, answerHeaders) }

func keep(h http.Header, names []string) http.Header {
	out := make(http.Header, len(names))
	for _, n := range names {
		if v := h.Values(n); len(v) > 0 {
			out[n] = v
		}
	}
	return out
}
