package service

import "net/http"

// Request is one call to a plain service.
type Request struct {
	ID     string
	Method string
	// Path is the escaped path below the service's root, with the query.
	Path string
	// Header is the header of the caller's request, of which upstream.RequestHeader selects what is forwarded.
	Header http.Header
	Body   []byte
	// NoRetry is set for a call that must not be sent twice, not even by net/http.
	NoRetry bool
}
