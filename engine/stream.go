package engine

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"

	"chestnutcleat.example/chestnutcleat/upstream"
)

// doneData is the data of the last event of a stream.
const doneData = "[DONE]"

// Stream is a streamed completion.
type Stream struct {
	id     string
	body   io.ReadCloser
	events *EventReader
	// repeated is the delivered text that the engine still has to send again.
	repeated string
	finished bool
	complete bool
}

// Next returns the next event, or io.EOF after the last event of a complete stream.
func (s *Stream) Next() (Completion, error) {
	for {
		c, err := s.readEvent()
		if err != nil {
			return c, err
		}
		if s.repeated == "" || len(c.Choices) == 0 || c.Choices[0].Delta == nil {
			return c, nil
		}
		d := c.Choices[0].Delta
		n := min(len(s.repeated), len(d.Content))
		if !strings.HasPrefix(s.repeated, d.Content[:n]) || (c.Choices[0].FinishReason != nil && n < len(s.repeated)) {
			return c, s.fail(upstream.Diverged, errors.New("the repeated stream differs from the delivered text"))
		}
		s.repeated = s.repeated[n:]
		d.Content = d.Content[n:]
		if d.Content != "" || c.Choices[0].FinishReason != nil || c.Usage != nil {
			return c, nil
		}
	}
}

func (s *Stream) readEvent() (Completion, error) {
	var c Completion
	data, err := s.events.Next()
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	if err != nil {
		return c, s.fail(upstream.Broken, err)
	}
	if string(data) == doneData {
		if !s.finished {
			return c, s.fail(upstream.Broken, errors.New("the stream ended without a finish reason"))
		}
		s.complete = true
		return c, io.EOF
	}
	if err := json.Unmarshal(data, &c); err != nil {
		return c, s.fail(upstream.Malformed, err)
	}
	if c.ID != s.id {
		return c, s.fail(upstream.Mismatched, fmt.Errorf("event has id %q instead of %q", c.ID, s.id))
	}
	if len(c.Choices) > 1 {
		return c, s.fail(upstream.Malformed, errors.New("event has more than one choice"))
	}
	if len(c.Choices) == 1 && c.Choices[0].FinishReason != nil {
		s.finished = true
	}
	return c, nil
}

func (s *Stream) fail(k upstream.ErrorKind, err error) error {
	return &upstream.Error{Kind: k, Sent: true, HeaderRead: true, Err: err}
}

// Close closes the stream; its connection is reused only if the stream is complete.
func (s *Stream) Close() error {
	if s.complete {
		if _, err := io.CopyN(io.Discard, s.body, maxDrainBytes); err != nil && !errors.Is(err, io.EOF) {
			return errors.Join(err, s.body.Close())
		}
	}
	return s.body.Close()
}
