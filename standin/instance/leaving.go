package instance

import "net/http"

const (
	// headerLeaving says in an answer that the instance must not get new requests.
	headerLeaving = "Server-Leaving"
	leavingValue  = "1"
)

// start describes the present start of an instance.
type start struct {
	// at is the time of the start in Unix milliseconds.
	at int64
	// leaving is set if the instance says in all its answers that it leaves.
	leaving bool
}

// SetStart makes the instance one that was started at the given time in Unix milliseconds, and whose answers do not say that it leaves.
func (s *Server) SetStart(at int64) { s.start.Store(&start{at: at}) }

// SetLeaving makes the instance say in all its answers that it leaves, whatever its registration says, until its next start.
func (s *Server) SetLeaving() { s.start.Store(&start{at: s.currentStart().at, leaving: true}) }

func (s *Server) currentStart() start {
	if p := s.start.Load(); p != nil {
		return *p
	}
	return start{}
}

// announce adds to the header of an answer that the instance leaves, if it does.
func (s start) announce(h http.Header) {
	if s.leaving {
		h.Set(headerLeaving, leavingValue)
	}
}
