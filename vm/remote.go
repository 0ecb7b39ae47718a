package vm

// RemoteError is an untyped error returned by the peer; the request reached the peer.
type RemoteError struct {
	Text string
}

// Error implements error.
func (e *RemoteError) Error() string { return "peer: " + e.Text }
