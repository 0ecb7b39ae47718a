// Package accept serves callers' connections and ends without cutting one of them: neither those that still wait in the
// backlog of the listener, nor those whose request has not been read yet.
package accept
