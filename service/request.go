package service

import "net/http"

// Request is one call of a plain service.
type Request struct {
	ID     string
	Method string
	// Path is the escaped path below the service's root, with the query.
	Path string
	// Header is the caller's header; only allowed fields are sent.
	Header http.Header
	Body   []byte
	// Once forbids any repetition on the connection level.
	Once bool
}
