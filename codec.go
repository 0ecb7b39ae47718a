package chestnutcleat

import (
	"net/http"
	"time"
)

// Codec translates between the HTTP requests and responses of one interface and the domain types.
type Codec interface {
	// DecodeRequest decodes the header of a caller's request; its errors are of type *Problem.
	DecodeRequest(r *http.Request) (*Request, error)
	// ForwardHeader returns the request header to send to an instance, given the caller's header.
	ForwardHeader(h http.Header, f ForwardInfo) http.Header
	// ResponseHeader returns the fields of an instance's response header that are passed on to the caller.
	ResponseHeader(h http.Header) http.Header
	// DecodeResponse decodes an instance's response status and header.
	DecodeResponse(status int, h http.Header) ResponseInfo
	// WriteProblem writes p as the response to a caller.
	WriteProblem(w http.ResponseWriter, p *Problem)
}

// ForwardInfo holds what the scheduler adds to the caller's header in a request to an instance.
type ForwardInfo struct {
	Instance InstanceID
	// Customer is empty on routes without keys.
	Customer CustomerID
	// Wait is the time left for the response.
	Wait time.Duration
	// Priority is the priority in the engine's queue, from 0 (first) to 9 (last); negative for none.
	Priority int
	// Resume is the id of the last event delivered to the caller; negative keeps the id in the caller's header.
	Resume int
}

// ResponseInfo is the decoded header of an instance's response.
type ResponseInfo struct {
	// ID is the request that the response belongs to; empty if the header does not name exactly one.
	ID RequestID
	// NotRun is set when the instance states that it did not run the request.
	NotRun bool
	// AddressReused is set when another instance now uses the address.
	AddressReused bool
	// Signed is set when the response carries an instance's signature.
	Signed bool
	// Leaving is set when the instance states that it must not get new requests.
	Leaving bool
}
