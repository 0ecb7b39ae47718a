package engine

import (
	"bufio"
	"bytes"
	"io"
)

// maxEventBytes bounds a line and the data of one event.
const maxEventBytes = 1 << 20

// EventReader reads the data of server-sent events.
type EventReader struct {
	lines *bufio.Scanner
}

// NewEventReader returns a reader for the events in r.
func NewEventReader(r io.Reader) *EventReader {
	s := bufio.NewScanner(r)
	s.Buffer(make([]byte, 0, 4096), maxEventBytes)
	return &EventReader{lines: s}
}

// Next returns the data of the next event, or io.EOF at the end of the input, which may be inside an event.
func (r *EventReader) Next() ([]byte, error) {
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
		if len(data)+len(value) > maxEventBytes {
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
