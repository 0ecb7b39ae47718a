package service

import "net/http"

// Answer is the whole answer of a plain service.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
}
