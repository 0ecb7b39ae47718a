package sse

import (
	"bufio"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/matryer/is"
)

const sample = "id: 1\ndata: a\n\nid:2\r\ndata: b\r\ndata:c\r\n\r\n: comment\nevent: end\n\n"

// Raw must be the received bytes exactly, however they are split into reads.
func TestEvents(t *testing.T) {
	for _, size := range []int{16, 4096} {
		is := is.New(t)
		r := Reader{R: bufio.NewReaderSize(iotest.OneByteReader(strings.NewReader(sample)), size)}
		raw := ""
		var ids []int
		var data []string
		for {
			e, err := r.Next()
			if err == io.EOF {
				break
			}
			is.NoErr(err)
			raw += string(e.Raw)
			ids = append(ids, e.ID)
			data = append(data, string(e.Data))
		}
		is.Equal(raw, sample)
		is.Equal(ids, []int{1, 2, -1})
		is.Equal(data, []string{"a", "b\nc", ""})
	}
}

// An event truncated at any byte must not be returned as a complete one.
func TestTruncatedEvent(t *testing.T) {
	is := is.New(t)
	first := strings.Index(sample, "\n\n") + 2
	for cut := range first {
		r := Reader{R: bufio.NewReader(strings.NewReader(sample[:cut]))}
		_, err := r.Next()
		if cut == 0 {
			is.Equal(err, io.EOF)
		} else {
			is.True(errors.Is(err, io.ErrUnexpectedEOF))
		}
	}
}

// An endless event must not exhaust the memory.
func TestEndlessEvent(t *testing.T) {
	is := is.New(t)
	r := Reader{R: bufio.NewReader(io.MultiReader(strings.NewReader("data: "), endlessReader{}))}
	_, err := r.Next()
	is.True(errors.Is(err, ErrTooLong))
}

type endlessReader struct{}

func (endlessReader) Read(b []byte) (int, error) {
	for i := range b {
		b[i] = 'x'
	}
	return len(b), nil
}
