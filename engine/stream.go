package engine

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"

	"chestnutcleat.example/chestnutcleat/upstream"
)

// done is the data of the event that ends a stream.
const done = "[DONE]"

// Stream is a streamed answer.
type Stream struct {
	id     string
	body   io.ReadCloser
	events *Reader
	// skip is the delivered text that the engine sends again.
	skip     string
	finished bool
	ended    bool
}

// Next returns the next event; io.EOF follows the end of a whole answer.
func (s *Stream) Next() (Completion, error) {
	for {
		c, err := s.read()
		if err != nil {
			return c, err
		}
		if s.skip == "" || len(c.Choices) == 0 || c.Choices[0].Delta == nil {
			return c, nil
		}
		d := c.Choices[0].Delta
		n := min(len(s.skip), len(d.Content))
		if !strings.HasPrefix(s.skip, d.Content[:n]) || (c.Choices[0].Finish != nil && n < len(s.skip)) {
			return c, s.fail(upstream.Diverged, errors.New("the repeated stream differs from the delivered text"))
		}
		s.skip = s.skip[n:]
		d.Content = d.Content[n:]
		if d.Content != "" || c.Choices[0].Finish != nil || c.Usage != nil {
			return c, nil
		}
	}
}

func (s *Stream) read() (Completion, error) {
	var c Completion
	data, err := s.events.Next()
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	if err != nil {
		return c, s.fail(upstream.Broken, err)
	}
	if string(data) == done {
		if !s.finished {
			return c, s.fail(upstream.Broken, errors.New("the stream ended without a finish reason"))
		}
		s.ended = true
		return c, io.EOF
	}
	if err := json.Unmarshal(data, &c); err != nil {
		return c, s.fail(upstream.Malformed, err)
	}
	if c.ID != s.id {
		return c, s.fail(upstream.Crossed, fmt.Errorf("event has id %q instead of %q", c.ID, s.id))
	}
	if len(c.Choices) > 1 {
		return c, s.fail(upstream.Malformed, errors.New("event has more than one choice"))
	}
	if len(c.Choices) == 1 && c.Choices[0].Finish != nil {
		s.finished = true
	}
	return c, nil
}

func (s *Stream) fail(k upstream.Kind, err error) error {
	return &upstream.Error{Kind: k, Sent: true, Answered: true, Err: err}
}

// Close ends the exchange; the connection is reused only after a whole answer.
func (s *Stream) Close() error {
	if s.ended {
		if _, err := io.CopyN(io.Discard, s.body, maxError); err != nil && !errors.Is(err, io.EOF) {
			return errors.Join(err, s.body.Close())
		}
	}
	return s.body.Close()
}
