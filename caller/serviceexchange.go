package caller

import (
	"context"
	"errors"
	"maps"
	"net/http"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/service"
	"chestnutcleat.example/chestnutcleat/upstream"
)

// maxStoredBody is the size in bytes of the largest body that is recorded for replays.
const maxStoredBody = 1 << 20

// serviceExchange is the exchange of a call to a plain service.
type serviceExchange struct {
	c      *call
	method string
	path   string
	header http.Header
	body   []byte
	answer service.Answer
}

func (x *serviceExchange) attempt(ctx context.Context, g grant) result {
	client := service.Client{Address: g.upstream.Address, Transport: x.c.h.pooledTransport, NoReuse: x.c.h.unpooledTransport}
	a, err := client.Do(ctx, service.Request{
		ID: x.c.hashedID, Method: x.method, Path: x.path, Header: x.header, Body: x.body, NoRetry: !x.c.call.Repeatable,
	})
	if err != nil {
		return result{err: asUpstreamError(err)}
	}
	x.answer = a
	outcome := chestnutcleat.Done
	if a.Status >= http.StatusInternalServerError {
		outcome = chestnutcleat.Failed
	}
	return result{answer: dropLargeBody(chestnutcleat.Answer{Status: a.Status, Type: a.Header.Get("Content-Type"), Body: a.Body, Outcome: outcome})}
}

func (x *serviceExchange) deliver() {
	maps.Copy(x.c.w.Header(), x.answer.Header)
	x.writeBody(x.answer.Status, x.answer.Body)
}

func (x *serviceExchange) replay(a chestnutcleat.Answer) {
	if a.Type != "" {
		x.c.w.Header().Set("Content-Type", a.Type)
	}
	x.writeBody(a.Status, a.Body)
}

func (x *serviceExchange) writeBody(status int, body []byte) {
	if x.c.isUndeliverable() {
		return
	}
	writeResponse(x.c.w, status, body, x.method == http.MethodHead || status == http.StatusNoContent || status == http.StatusNotModified)
}

func (x *serviceExchange) interrupt(*chestnutcleat.Problem) bool { return false }

func (x *serviceExchange) resumable() bool { return true }

func (x *serviceExchange) boundTo() (chestnutcleat.SoftwareVersion, bool) { return "", false }

// dropLargeBody removes a body that is too large to be recorded.
func dropLargeBody(a chestnutcleat.Answer) chestnutcleat.Answer {
	if len(a.Body) > maxStoredBody {
		a.Body = nil
		a.BodyDropped = true
	}
	return a
}

// asUpstreamError converts err to an upstream error. An error of another type counts as sent, since the request may have been.
func asUpstreamError(err error) *upstream.Error {
	var e *upstream.Error
	if errors.As(err, &e) {
		return e
	}
	return &upstream.Error{Kind: upstream.Broken, Sent: true, Err: err}
}
