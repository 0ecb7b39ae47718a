package engine

import "net/http"

// Request is one attempt of a chat completion.
type Request struct {
	// ID is unique for the attempt.
	ID       string
	Chat     Chat
	Priority int
	// Prefix is the text of the answer that was already delivered.
	Prefix string
	// Header is the caller's header; only allowed fields are sent.
	Header http.Header
}
