// Package exchange is an HTTP/1.1 client with a connection pool for requests to instances. Its errors tell whether the instance
// may have received the request.
//
// It uses net/http to encode and parse messages, but not http.Transport, which retries some requests by itself and may take late
// bytes of an earlier response for the response to the next request.
package exchange
