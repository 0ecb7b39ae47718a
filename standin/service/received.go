package service

import "net/http"

// Received is a request as the stand-in received it.
type Received struct {
	Method string
	URI    string
	Header http.Header
	Body   []byte
}
