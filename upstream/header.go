package upstream

import "net/http"

// HeaderRequest carries the id of a request; the upstream echoes it.
const HeaderRequest = "X-Request-Id"

// requestHeaders are the request headers that are forwarded to upstreams.
var requestHeaders = []string{"Accept", "Accept-Language", "Content-Language", "Content-Type", "If-Match", "If-None-Match", "Traceparent", "Tracestate"}

// responseHeaders are the response headers that are forwarded to callers.
var responseHeaders = []string{"Content-Language", "Content-Type", "Etag", "Last-Modified", "Location"}

// RequestHeader returns the headers of a caller's request that are forwarded to upstreams.
func RequestHeader(h http.Header) http.Header { return filter(h, requestHeaders) }

// ResponseHeader returns the headers of an upstream's response that are forwarded to callers.
func ResponseHeader(h http.Header) http.Header { return filter(h, responseHeaders) }

func filter(h http.Header, names []string) http.Header {
	out := make(http.Header, len(names))
	for _, n := range names {
		if v := h.Values(n); len(v) > 0 {
			out[n] = v
		}
	}
	return out
}
