// Package sse parses streams of server-sent events.
package sse
