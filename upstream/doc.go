// Package upstream holds what the HTTP clients of engines and plain services share: the transport, error kinds and
// header filters.
package upstream
