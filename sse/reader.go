package sse

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"
)

// ErrTooLong reports an event above the reader's limit.
var ErrTooLong = errors.New("event is too long")

// maxEvent bounds one event in bytes.
const maxEvent = 1 << 20

// Event is one server-sent event.
type Event struct {
	// Raw is the event as it was sent, with the empty line that ends it; it is valid until the next call of Next.
	Raw []byte
	// ID is the number of the event, or -1 when it has none.
	ID int
	// Data is the event's data without the field names; lines are joined by a line feed. It is nil for a comment.
	Data []byte
}

// Reader reads whole events.
type Reader struct {
	R   *bufio.Reader
	raw []byte
}

// Next returns the next whole event. It returns io.EOF at the end of the stream and io.ErrUnexpectedEOF when the
// stream ends within an event.
func (r *Reader) Next() (Event, error) {
	r.raw = r.raw[:0]
	e := Event{ID: -1}
	for {
		line, err := r.line()
		if err != nil {
			return Event{}, err
		}
		if len(line) == 0 {
			e.Raw = r.raw
			return e, nil
		}
		e.field(line)
	}
}

// line returns the next line without its end.
func (r *Reader) line() ([]byte, error) {
	start := len(r.raw)
	for {
		part, err := r.R.ReadSlice('\n')
		r.raw = append(r.raw, part...)
		if len(r.raw) > maxEvent {
			return nil, ErrTooLong
		}
		switch {
		case err == nil:
			return bytes.TrimSuffix(bytes.TrimSuffix(r.raw[start:], []byte("\n")), []byte("\r")), nil
		case err == bufio.ErrBufferFull:
		case err == io.EOF && len(r.raw) > 0:
			return nil, io.ErrUnexpectedEOF
		default:
			return nil, err
		}
	}
}

func (e *Event) field(line []byte) {
	name, value, _ := bytes.Cut(line, []byte(":"))
	value = bytes.TrimPrefix(value, []byte(" "))
	switch string(name) {
	case "id":
		if n, err := strconv.Atoi(string(value)); err == nil {
			e.ID = n
		}
	case "data":
		if e.Data == nil {
			e.Data = append([]byte{}, value...)
			return
		}
		e.Data = append(append(e.Data, '\n'), value...)
	}
}
