package sse

import (
	"bufio"
	"bytes"
	"cmp"
	"errors"
	"io"
	"strconv"
)

// ErrTooLong is returned for an event that exceeds Reader.MaxBytes.
var ErrTooLong = errors.New("event is too long")

// DefaultMaxBytes is the size limit of an event, in bytes, for a Reader that sets none.
const DefaultMaxBytes = 1 << 20

// Event is one server-sent event.
type Event struct {
	// Raw is the event as received, with the empty line that ends it. It is valid until the next call of Next.
	Raw []byte
	// ID is the numeric id of the event, or -1 if it has none.
	ID int
	// Data is the values of the data fields, joined by line feeds. It is nil for an event without data, such as a comment.
	Data []byte
}

// Reader reads complete events from R.
type Reader struct {
	R *bufio.Reader
	// MaxBytes limits the size of one event; zero means DefaultMaxBytes.
	MaxBytes int64
	// Reserve is called before the buffer for an event grows by n bytes; an error ends the stream. It may be nil.
	Reserve func(n int64) error

	raw []byte
}

// Next returns the next complete event. It returns io.EOF at the end of the stream and io.ErrUnexpectedEOF if the stream ends
// within an event.
func (r *Reader) Next() (Event, error) {
	r.raw = r.raw[:0]
	e := Event{ID: -1}
	for {
		line, err := r.readLine()
		if err != nil {
			return Event{}, err
		}
		if len(line) == 0 {
			e.Raw = r.raw
			return e, nil
		}
		e.parseField(line)
	}
}

// readLine returns the next line without its line ending.
func (r *Reader) readLine() ([]byte, error) {
	start := len(r.raw)
	for {
		part, err := r.R.ReadSlice('\n')
		if err := r.grow(len(part)); err != nil {
			return nil, err
		}
		r.raw = append(r.raw, part...)
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

// grow makes room for n more bytes of an event.
func (r *Reader) grow(n int) error {
	size := len(r.raw) + n
	if int64(size) > cmp.Or(r.MaxBytes, DefaultMaxBytes) {
		return ErrTooLong
	}
	if size <= cap(r.raw) {
		return nil
	}
	more := max(size, 2*cap(r.raw)) - cap(r.raw)
	if r.Reserve != nil {
		if err := r.Reserve(int64(more)); err != nil {
			return err
		}
	}
	r.raw = append(make([]byte, 0, cap(r.raw)+more), r.raw...)
	return nil
}

func (e *Event) parseField(line []byte) {
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
