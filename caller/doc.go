// Package caller serves the HTTP interface towards callers: it admits their calls, sends them to upstreams and returns the answers.
package caller
