package chestnutcleat

import (
	"net/http"
	"time"
)

// Codec translates between the HTTP messages of one interface and the domain types.
type Codec interface {
	// Request decodes a caller's header; the error is a *Problem.
	Request(r *http.Request) (*Request, error)
	// Forward returns the header that an instance gets for a caller's request.
	Forward(h http.Header, f Forward) http.Header
	// AnswerHeader returns the part of an instance's header that the caller gets.
	AnswerHeader(h http.Header) http.Header
	// Answer reads what an instance's header says about the exchange.
	Answer(status int, h http.Header) Answered
	// Refuse writes a refusal.
	Refuse(w http.ResponseWriter, p *Problem)
}

// Forward is what the scheduler tells an instance beside the caller's own header.
type Forward struct {
	Instance InstanceID
	// Customer is empty on routes without keys.
	Customer CustomerID
	// Wait is the time that is left for the answer.
	Wait time.Duration
	// Priority is the place in the engine's queue: 0 first, 9 last; negative for none.
	Priority int
	// Resume is the id of the last event that was delivered; negative leaves the caller's own.
	Resume int
}

// Answered is what an instance's header says about an exchange.
type Answered struct {
	// ID is the request that the answer belongs to; empty when it does not say.
	ID RequestID
	// NotRun is set when the instance states that it did not run the request.
	NotRun bool
	// Moved is set when the address now belongs to another instance.
	Moved bool
	// Signed is set when the answer bears an instance's signature.
	Signed bool
}
