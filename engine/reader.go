package engine

import (
	"bufio"
	"bytes"
	"io"
)

// maxEvent is the largest line of a streamed answer in bytes.
const maxEvent = 1 << 20

// Reader reads the data of server-sent events.
type Reader struct {
	lines *bufio.Scanner
}

// NewReader returns a reader of the events in r.
func NewReader(r io.Reader) *Reader {
	s := bufio.NewScanner(r)
	s.Buffer(make([]byte, 0, 4096), maxEvent)
	return &Reader{lines: s}
}

// Next returns the data of the next event; io.EOF means that the stream ended, perhaps in the middle of an event.
func (r *Reader) Next() ([]byte, error) {
	var data []byte
	found := false
	for r.lines.Scan() {
		line := r.lines.Bytes()
		if len(line) == 0 {
			if found {
				return data, nil
			}
			continue
		}
		value, ok := bytes.CutPrefix(line, []byte("data:"))
		if !ok {
			continue
		}
		if found {
			data = append(data, '\n')
		}
		if len(data)+len(value) > maxEvent {
			return nil, bufio.ErrTooLong
		}
		data = append(data, bytes.TrimPrefix(value, []byte(" "))...)
		found = true
	}
	if err := r.lines.Err(); err != nil {
		return nil, err
	}
	return nil, io.EOF
}
