package engine

import "net/http"

// Request is one attempt at a chat completion.
type Request struct {
	// ID is unique to the attempt.
	ID       string
	Chat     Chat
	Priority int
	// Prefix is the text that was already delivered by an earlier attempt.
	Prefix string
	// Header is the header of the caller's request, of which upstream.RequestHeader selects what is forwarded.
	Header http.Header
}
