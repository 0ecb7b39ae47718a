// Package caller implements the HTTP API for callers: it admits calls, sends them to upstreams and returns the answers.
package caller
