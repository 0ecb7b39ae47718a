package service

import "net/http"

// Answer is a complete response of a plain service.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
}
