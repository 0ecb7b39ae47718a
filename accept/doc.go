// Package accept is an HTTP server whose graceful shutdown responds on every connection, including those in the listener's
// backlog and those whose request has not been read yet.
package accept
