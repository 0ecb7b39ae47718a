package entry

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"

	"chestnutcleat.example/chestnutcleat"
)

// refusalHead returns the head of a refusal with the given fields, each with its line ending.
func refusalHead(status int, fields string) string {
	return fmt.Sprintf("HTTP/1.1 %d X\r\n%sContent-Length: 0\r\n\r\n", status, fields)
}

const (
	notExecuted = "Chestnutcleat-Not-Executed: 1\r\n"
	ownID       = "Chestnutcleat-Request-Id: r1\r\n"
	earlierID   = "Chestnutcleat-Request-Id: r0\r\n"
)

// Guards against a refusal that an instance wrote once more being taken for the refusal of a request that it runs: callers
// were told "not run", or a request that may not be repeated ran at a second instance. Only the echoed id proves which request a
// refusal answers.
func TestRefusalOfAnotherRequest(t *testing.T) {
	for name, head := range map[string]string{
		"full, without an id":               refusalHead(503, notExecuted),
		"over the rate, without an id":      refusalHead(429, notExecuted),
		"other instance, without an id":     refusalHead(421, ""),
		"bad request, without an id":        refusalHead(400, notExecuted),
		"full, empty id":                    refusalHead(503, notExecuted+"Chestnutcleat-Request-Id:\r\n"),
		"full, id of an earlier request":    refusalHead(503, notExecuted+earlierID),
		"other instance, id of an earlier":  refusalHead(421, earlierID),
		"full, own id and an earlier one":   refusalHead(503, notExecuted+ownID+earlierID),
		"full, an earlier id and its own":   refusalHead(503, notExecuted+earlierID+ownID),
		"full, own id after an interim one": "HTTP/1.1 103 Early Hints\r\n" + ownID + "\r\n" + refusalHead(503, notExecuted),
	} {
		for path, want := range map[string]struct{ status, runs int }{
			"/book/": {502, 1}, "/kept/": {502, 1}, "/check/": {200, 2}, "/plan/": {200, 2},
		} {
			t.Run(name+" "+path, func(t *testing.T) {
				runInBubble(t, func(r *receivedRequest, q *http.Request, w io.Writer) bool {
					switch {
					case r.n == 1:
						_, _ = io.WriteString(w, head)
					case path == "/plan/":
						writeEvents(q, w, 1, 2, true)
					default:
						respond(q, w, 200, sealHeader, "ok")
					}
					return true
				}, func(is *is.I, h *harness) {
					resp, body, err := h.do(h.t.Context(), path, "b")
					is.NoErr(err)
					is.Equal(resp.StatusCode, want.status)
					is.Equal(len(h.instances.received()), want.runs)
					is.True(want.status == 200 || strings.Contains(body, `"unknown"`))
				})
			})
		}
	}
}

// Guards against a copy of the first answer to an id being taken for the answer to a second request with that id: a caller
// that repeats its id was told "not run", or got the first answer, while the second request ran.
func TestCopyOfAnAnswerToTheSameID(t *testing.T) {
	const answer = "HTTP/1.1 200 OK\r\n" + ownID + sealHeader + "Content-Length: 5\r\n\r\nfirst"
	for name, copied := range map[string]string{
		"an answer":    answer,
		"a refusal":    refusalHead(503, notExecuted+ownID),
		"wrong server": refusalHead(421, ownID),
	} {
		for _, refusesFirst := range []bool{false, true} {
			for _, path := range []string{"/book/", "/check/"} {
				t.Run(fmt.Sprintf("%s, first refused: %v, %s", name, refusesFirst, path), func(t *testing.T) {
					var used sync.Map
					runInBubble(t, func(r *receivedRequest, q *http.Request, w io.Writer) bool {
						_, again := used.LoadOrStore(w, true)
						switch {
						case again:
							_, _ = io.WriteString(w, copied)
							return false
						case r.n == 1 && refusesFirst:
							respond(q, w, 503, notExecuted, "")
						case r.n == 1:
							respond(q, w, 200, sealHeader, "first")
						default:
							respond(q, w, 200, sealHeader, "second")
						}
						return true
					}, func(is *is.I, h *harness) {
						h.handler.Instances.SetInstances([]chestnutcleat.Instance{{ID: "tool-0", Service: "tool", Address: "tool-0", Slots: 6}})
						resp, _, err := h.do(h.t.Context(), path, "1")
						is.NoErr(err)
						is.Equal(resp.StatusCode == 503, refusesFirst)
						resp, body, err := h.do(h.t.Context(), path, "2")
						is.NoErr(err)
						is.Equal(resp.StatusCode, 200)
						is.Equal(body, "second")
					})
				})
			}
		}
	}
}
