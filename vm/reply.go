package vm

import (
	"errors"

	"chestnutcleat.example/chestnutcleat"
)

// reply is the encoded response to any request; it preserves the types NotOwner and Problem of an error.
type reply struct {
	Body     []byte                  `json:"body,omitempty"`
	Error    string                  `json:"error,omitempty"`
	NotOwner *chestnutcleat.NotOwner `json:"owner,omitempty"`
	Problem  *chestnutcleat.Problem  `json:"problem,omitempty"`
}

func newReply(body []byte, err error) reply {
	r := reply{Body: body}
	if err == nil {
		return r
	}
	if errors.As(err, &r.NotOwner) || errors.As(err, &r.Problem) {
		return r
	}
	r.Error = err.Error()
	return r
}

// decode decodes the body, or returns the error that the peer reported.
func (r *reply) decode(into any) error {
	switch {
	case r.NotOwner != nil:
		return r.NotOwner
	case r.Problem != nil:
		return r.Problem
	case r.Error != "":
		return &RemoteError{Text: r.Error}
	}
	return Encoding{}.Unmarshal(r.Body, into)
}
