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

// maxKept is the largest answer that is kept for callers that ask again.
const maxKept = 1 << 20

// serviceExchange is a call of a plain service.
type serviceExchange struct {
	c      *call
	method string
	path   string
	header http.Header
	body   []byte
	answer service.Answer
}

func (x *serviceExchange) attempt(ctx context.Context, g grant) result {
	client := service.Client{Address: g.upstream.Address, Transport: x.c.h.reuse, Fresh: x.c.h.fresh}
	a, err := client.Do(ctx, service.Request{
		ID: x.c.name, Method: x.method, Path: x.path, Header: x.header, Body: x.body, Once: !x.c.call.Repeatable,
	})
	if err != nil {
		return result{err: asError(err)}
	}
	x.answer = a
	outcome := chestnutcleat.Done
	if a.Status >= http.StatusInternalServerError {
		outcome = chestnutcleat.Failed
	}
	return result{answer: kept(chestnutcleat.Answer{Status: a.Status, Type: a.Header.Get("Content-Type"), Body: a.Body, Outcome: outcome})}
}

func (x *serviceExchange) deliver() {
	maps.Copy(x.c.w.Header(), x.answer.Header)
	x.write(x.answer.Status, x.answer.Body)
}

func (x *serviceExchange) replay(a chestnutcleat.Answer) {
	if a.Type != "" {
		x.c.w.Header().Set("Content-Type", a.Type)
	}
	x.write(a.Status, a.Body)
}

func (x *serviceExchange) write(status int, body []byte) {
	if x.c.absent() {
		return
	}
	write(x.c.w, status, body, x.method == http.MethodHead || status == http.StatusNoContent || status == http.StatusNotModified)
}

func (x *serviceExchange) interrupt(*chestnutcleat.Problem) bool { return false }

func (x *serviceExchange) resumable() bool { return true }

// kept drops the body of an answer that is too large to be kept.
func kept(a chestnutcleat.Answer) chestnutcleat.Answer {
	if len(a.Body) > maxKept {
		a.Body = nil
		a.Dropped = true
	}
	return a
}

// asError returns err as the error of an upstream; any other error counts as sent, since nothing proves otherwise.
func asError(err error) *upstream.Error {
	var e *upstream.Error
	if errors.As(err, &e) {
		return e
	}
	return &upstream.Error{Kind: upstream.Broken, Sent: true, Err: err}
}
