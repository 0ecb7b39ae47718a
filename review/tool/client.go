package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// request is one attempt of a client.
type request struct {
	id, method, target, key string
	headers                 [][2]string
	body                    string
	// deadline is how long the client waits.
	deadline time.Duration
}

// result is what the client saw of an attempt.
type result struct {
	status int
	header http.Header
	body   string
	// whole is set if the answer was complete.
	whole bool
	err   error
	took  time.Duration
}

func (r *result) String() string {
	if r.err != nil && r.status == 0 {
		return fmt.Sprintf("no answer after %v: %v", r.took.Round(time.Millisecond), r.err)
	}
	return fmt.Sprintf("%d, whole %t, after %v", r.status, r.whole, r.took.Round(time.Millisecond))
}

var errNoHeader = errors.New("connection ended before an answer")

// text returns the request as it is sent.
func (q *request) text() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nChestnutcleat-Request-Id: %s\r\n", q.method, q.target, host, q.id)
	fmt.Fprintf(&b, "Chestnutcleat-Deadline-Ms: %d\r\n", q.deadline.Milliseconds())
	if q.key != "" {
		fmt.Fprintf(&b, "Authorization: Bearer %s\r\n", q.key)
	}
	for _, h := range q.headers {
		fmt.Fprintf(&b, "%s: %s\r\n", h[0], h[1])
	}
	if q.method != http.MethodGet {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(q.body))
	}
	b.WriteString("\r\n")
	b.WriteString(q.body)
	return b.String()
}

// send sends an attempt on a new connection and reads the answer.
func send(address string, q *request) (out result) {
	start := time.Now()
	defer func() { out.took = time.Since(start) }()
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		out.err = err
		return out
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(start.Add(q.deadline))
	if _, err := io.WriteString(c, q.text()); err != nil {
		out.err = err
		return out
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		out.err = errors.Join(errNoHeader, err)
		return out
	}
	defer func() { _ = resp.Body.Close() }()
	out.status, out.header = resp.StatusCode, resp.Header
	data, err := io.ReadAll(resp.Body)
	out.body, out.err, out.whole = string(data), err, err == nil
	return out
}
