package exchange

import (
	"io"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"chestnutcleat.example/chestnutcleat"
)

// sendAs sends a request with an id and reads its response.
func sendAs(t *testing.T, is *is.I, p *Pool, id chestnutcleat.RequestID) {
	is.Helper()
	r, err := p.Do(t.Context(), "a", &Request{ID: id, Method: "GET", Target: "/", Host: "h", Header: http.Header{}})
	is.NoErr(err)
	_, err = io.ReadAll(r)
	is.NoErr(err)
	r.Close()
}

// Guards against a second copy of an answer being taken for the answer to a repeated request with the same id (issue 33): the id
// can't tell them apart, so such a request needs a connection that has not carried the id.
func TestSameIDIsNotSentTwiceOnAConnection(t *testing.T) {
	is := is.New(t)
	p, opened := newPool(t, serve(okResponse))
	for _, tt := range []struct {
		id     chestnutcleat.RequestID
		opened int
	}{
		{"a", 1}, {"b", 1}, {"a", 2}, {"c", 2}, {"b", 2}, {"a", 3}, {"b", 3}, {"c", 3}, {"d", 3},
	} {
		sendAs(t, is, p, tt.id)
		is.Equal(*opened, tt.opened)
	}
}

// The ids that a connection keeps must not grow without bound, and a bound must not cost many connections.
func TestRequestsPerConnection(t *testing.T) {
	is := is.New(t)
	p, opened := newPool(t, serve(okResponse))
	expectResponses(is, p, maxRequestsPerConn, "ok")
	is.Equal(*opened, 1)
	expectResponses(is, p, 1, "ok")
	is.Equal(*opened, 2)
}

// A caller that repeats its id must not add connections to an instance, which allows a limited number.
func TestRepeatedIDAddsNoConnections(t *testing.T) {
	is := is.New(t)
	p, opened := newPool(t, serve(okResponse))
	for i := range 9 {
		sendAs(t, is, p, "a")
		is.Equal(*opened, i+1)
		is.Equal(len(p.idle["a"]), 1)
	}
}
