// Package exchange sends requests to instances over kept HTTP/1.1 connections and tells what a failed exchange leaves open.
//
// It uses net/http for messages but not http.Transport, which repeats some requests by itself and takes late bytes of an
// earlier answer for the answer to the next request.
package exchange
