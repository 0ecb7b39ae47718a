package caller_test

import (
	"bufio"
	"encoding/json"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/caller"
)

// Invalid input must be refused with the right code and outcome not-run, and must not reach an upstream.
func TestBadInput(t *testing.T) {
	hello := chatBody("m", "hello", false)
	cases := []struct {
		name, method, path, body string
		headers                  []string
		code                     chestnutcleat.Code
	}{
		{"no key", "POST", caller.PathChat, hello, nil, chestnutcleat.CodeKeyMissing},
		{"unknown key", "POST", caller.PathChat, hello, []string{"Authorization", "Bearer unknown-key-1"}, chestnutcleat.CodeKeyUnknown},
		{"withdrawn key", "POST", caller.PathChat, hello, []string{"Authorization", "Bearer " + withdrawnKey}, chestnutcleat.CodeKeyWithdrawn},
		{"other scheme", "POST", caller.PathChat, hello, []string{"Authorization", "Basic Zm9vOmJhcg=="}, chestnutcleat.CodeKeyUnknown},
		{"two keys", "POST", caller.PathChat, hello, []string{"Authorization", bearer, "Authorization", bearer}, chestnutcleat.CodeBadRequest},
		{"two call ids", "POST", caller.PathChat, hello, []string{"Authorization", bearer, "Idempotency-Key", "a", "Idempotency-Key", "b"}, chestnutcleat.CodeBadRequest},
		{"bad call id", "POST", caller.PathChat, hello, []string{"Authorization", bearer, "Idempotency-Key", "a b"}, chestnutcleat.CodeBadRequest},
		{"bad program id", "POST", caller.PathChat, hello, []string{"Authorization", bearer, "Chestnutcleat-Program", "../x"}, chestnutcleat.CodeBadRequest},
		{"predecessor without a program", "POST", caller.PathChat, hello, []string{"Authorization", bearer, "Chestnutcleat-After", "c1"}, chestnutcleat.CodeBadRequest},
		{"negative budget", "POST", caller.PathChat, hello, []string{"Authorization", bearer, "Chestnutcleat-Budget", "-1"}, chestnutcleat.CodeBadRequest},
		{"malformed deadline", "POST", caller.PathChat, hello, []string{"Authorization", bearer, "Chestnutcleat-Deadline", "tomorrow"}, chestnutcleat.CodeBadRequest},
		{"past deadline", "POST", caller.PathChat, hello, []string{"Authorization", bearer, "Chestnutcleat-Deadline", "2001-01-01T00:00:00Z"}, chestnutcleat.CodeDeadline},
		{"key in the query", "GET", "/v1/services/read/x?k=" + activeKey, "", []string{"Authorization", bearer}, chestnutcleat.CodeKeyExposed},
		{"escaped key in the query", "GET", "/v1/services/read/x?k=good%2Dkey-0123456789", "", nil, chestnutcleat.CodeKeyExposed},
		{"key parameter", "GET", "/v1/services/read/x?api_key=1", "", []string{"Authorization", bearer}, chestnutcleat.CodeKeyExposed},
		{"other key in the path", "GET", "/v1/services/read/" + otherKey, "", []string{"Authorization", bearer}, chestnutcleat.CodeKeyExposed},
		{"key in the body", "POST", caller.PathChat, chatBody("m", "use "+activeKey+" now", false), []string{"Authorization", bearer}, chestnutcleat.CodeKeyExposed},
		{"escaped key in the body", "POST", caller.PathChat, strings.Replace(chatBody("m", activeKey, false), "good", `\u0067ood`, 1), []string{"Authorization", bearer}, chestnutcleat.CodeKeyExposed},
		{"key in an open call's body", "POST", caller.PathChat, chatBody("free", "line\n"+activeKey, false), nil, chestnutcleat.CodeKeyExposed},
		{"key as call id", "POST", caller.PathChat, hello, []string{"Authorization", bearer, "Idempotency-Key", activeKey}, chestnutcleat.CodeKeyExposed},
		{"oversized body", "POST", caller.PathChat, chatBody("m", strings.Repeat("x", 5000), false), []string{"Authorization", bearer}, chestnutcleat.CodeTooLarge},
		{"oversized header", "POST", caller.PathChat, hello, []string{"Authorization", bearer, "X-Long", strings.Repeat("x", 40_000)}, chestnutcleat.CodeTooLarge},
		{"malformed body", "POST", caller.PathChat, `{"model":`, []string{"Authorization", bearer}, chestnutcleat.CodeBadRequest},
		{"two JSON values", "POST", caller.PathChat, hello + hello, []string{"Authorization", bearer}, chestnutcleat.CodeBadRequest},
		{"no messages", "POST", caller.PathChat, `{"model":"m","messages":[]}`, []string{"Authorization", bearer}, chestnutcleat.CodeBadRequest},
		{"two choices", "POST", caller.PathChat, `{"model":"m","n":2,"messages":[{"role":"user","content":"x"}]}`, []string{"Authorization", bearer}, chestnutcleat.CodeBadRequest},
		{"unknown model", "POST", caller.PathChat, chatBody("x", "hello", false), []string{"Authorization", bearer}, chestnutcleat.CodeRouteUnknown},
		{"other customer's model", "POST", caller.PathChat, chatBody("others", "hello", false), []string{"Authorization", bearer}, chestnutcleat.CodeForbidden},
		{"wrong content type", "POST", caller.PathChat, hello, []string{"Authorization", bearer, "Content-Type", "text/plain"}, chestnutcleat.CodeBadRequest},
		{"compressed body", "POST", caller.PathChat, hello, []string{"Authorization", bearer, "Content-Encoding", "gzip"}, chestnutcleat.CodeBadRequest},
		{"wrong method", "GET", caller.PathChat, "", []string{"Authorization", bearer}, chestnutcleat.CodeBadRequest},
		{"unknown path", "GET", "/v2/x", "", []string{"Authorization", bearer}, chestnutcleat.CodeRouteUnknown},
		{"unknown service", "GET", "/v1/services/none/x", "", []string{"Authorization", bearer}, chestnutcleat.CodeRouteUnknown},
		{"model route as service", "GET", "/v1/services/chat/x", "", []string{"Authorization", bearer}, chestnutcleat.CodeRouteUnknown},
		{"relative path", "GET", "/v1/services/read/%2e%2e/x", "", []string{"Authorization", bearer}, chestnutcleat.CodeBadRequest},
		{"upgrade", "GET", "/v1/services/read/x", "", []string{"Authorization", bearer, "Upgrade", "websocket"}, chestnutcleat.CodeBadRequest},
		{"unknown program", "GET", "/v1/programs/none", "", []string{"Authorization", bearer}, chestnutcleat.CodeProgramUnknown},
		{"program without a key", "GET", "/v1/programs/none", "", nil, chestnutcleat.CodeKeyMissing},
		{"open call in a program", "POST", caller.PathChat, chatBody("free", "x", false), []string{"Chestnutcleat-Program", "p"}, chestnutcleat.CodeKeyMissing},
	}
	s := startSystem(t)
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			headers := c.headers
			if c.path == caller.PathChat && !strings.Contains(strings.Join(headers, " "), "Content-Type") {
				headers = append([]string{"Content-Type", "application/json"}, headers...)
			}
			a := s.send(t, c.method, c.path, c.body, headers...)
			var p chestnutcleat.Problem
			is.NoErr(json.Unmarshal([]byte(a.body), &p))
			is.Equal(p.Code, c.code)
			is.Equal(p.Outcome, chestnutcleat.NotRun)
			is.Equal(a.header.Get("Content-Type"), "application/problem+json")
			is.Equal(a.status, p.Status)
			for _, key := range []string{activeKey, otherKey, withdrawnKey} {
				is.True(!strings.Contains(a.body, key))
			}
		})
	}
	is := is.New(t)
	is.Equal(len(s.service.Received()), 0)
	is.Equal(len(s.engines[0].Received())+len(s.engines[1].Received()), 0)
}

// A request smuggled in the body of another one must not run, neither here nor at an upstream.
func TestHeaderSmuggling(t *testing.T) {
	smuggled := "GET /v1/services/read/hidden HTTP/1.1\r\nHost: x\r\nAuthorization: " + bearer + "\r\n\r\n"
	head := "POST /v1/services/read/outer HTTP/1.1\r\nHost: x\r\nAuthorization: " + bearer + "\r\n"
	cases := map[string]string{
		"two lengths":           head + "Content-Length: 0\r\nContent-Length: 150\r\n\r\n" + smuggled,
		"chunked twice":         head + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + smuggled,
		"unknown coding":        head + "Transfer-Encoding: xchunked\r\n\r\n" + smuggled,
		"space before colon":    head + "Content-Length : 150\r\n\r\n" + smuggled,
		"line feed in a header": head + "X-A: b\nTransfer-Encoding : chunked\r\n\r\n" + smuggled,
	}
	for name, request := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := startSystem(t)
			c, err := net.Dial("tcp", strings.TrimPrefix(s.url, "http://"))
			is.NoErr(err)
			defer c.Close()
			_, err = c.Write([]byte(request))
			is.NoErr(err)
			p, err := http.ReadResponse(bufio.NewReader(c), nil)
			is.NoErr(err)
			is.True(p.StatusCode >= 400)
			is.Equal(len(s.service.Received()), 0)
		})
	}
}

// Given Content-Length and chunked encoding, net/http uses the latter; the smuggled request must not reach an upstream, as a
// request or as a body.
func TestTwoFramings(t *testing.T) {
	is := is.New(t)
	s := startSystem(t)
	c, err := net.Dial("tcp", strings.TrimPrefix(s.url, "http://"))
	is.NoErr(err)
	defer c.Close()
	_, err = c.Write([]byte("POST /v1/services/read/outer HTTP/1.1\r\nHost: x\r\nConnection: close\r\nAuthorization: " + bearer +
		"\r\nContent-Length: 100\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /v1/services/read/hidden HTTP/1.1\r\nHost: x\r\n\r\n"))
	is.NoErr(err)
	_, err = http.ReadResponse(bufio.NewReader(c), nil)
	is.NoErr(err)
	for _, r := range s.service.Received() {
		is.Equal(r.URI, "/outer")
		is.Equal(len(r.Body), 0)
	}
}

// A call that is refused because an owner is unreachable or the rate is exceeded must say that nothing ran and when to retry.
func TestRefusals(t *testing.T) {
	cases := []struct {
		name, failing string
		rateExceeded  bool
		model         string
		code          chestnutcleat.Code
		retry         string
	}{
		{"rate", "", true, "m", chestnutcleat.CodeRate, "2"},
		{"customer owner lost", "take", false, "m", chestnutcleat.CodeOwnerUnavailable, "1"},
		{"program owner lost", "begin", false, "m", chestnutcleat.CodeOwnerUnavailable, "1"},
		{"upstream owner lost", "acquire", false, "m", chestnutcleat.CodeOwnerUnavailable, "1"},
		{"intent not recorded", "start", false, "once", chestnutcleat.CodeOwnerUnavailable, "1"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := startSystem(t)
			s.failing, s.rateExceeded = c.failing, c.rateExceeded
			a := s.chat(t, chatBody(c.model, "hello", false))
			var p chestnutcleat.Problem
			is.NoErr(json.Unmarshal([]byte(a.body), &p))
			is.Equal(p.Code, c.code)
			is.Equal(p.Outcome, chestnutcleat.NotRun)
			is.Equal(a.header.Get("Retry-After"), c.retry)
			is.Equal(len(s.engines[0].Received())+len(s.engines[1].Received()), 0)
		})
	}
}
