package service

import "net/http"

// Received is a request as the service received it.
type Received struct {
	Method string
	URI    string
	Header http.Header
	Body   []byte
}
