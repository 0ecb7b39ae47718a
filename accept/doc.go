// Package accept is an HTTP server with a graceful shutdown that drops no connection: neither those in the backlog of the
// listener nor those whose request has not been read yet.
package accept
