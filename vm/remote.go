package vm

// RemoteError is an error that the peer answered; the request reached it.
type RemoteError struct {
	Text string
}

// Error implements error.
func (e *RemoteError) Error() string { return "peer: " + e.Text }
