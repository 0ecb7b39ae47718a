package memory

import (
	"errors"
	"io"
	"sync/atomic"
)

var (
	// ErrExhausted is returned when the budget has no room for more.
	ErrExhausted = errors.New("memory for bodies is exhausted")
	// ErrTooLong is returned for data that exceeds its size limit.
	ErrTooLong = errors.New("data exceeds its size limit")
)

const (
	// minBuffer and maxFirstBuffer bound the first buffer for data, in bytes. A sender's own word on its size is not trusted with
	// more, so that a few headers cannot take the whole budget.
	minBuffer      = 512
	maxFirstBuffer = 64 << 10
	// largeSize is the size in bytes from which a reservation must leave one in freeDivisor of the budget to others, so that a few
	// large bodies do not turn away all small ones.
	largeSize   = 256 << 10
	freeDivisor = 4
)

// Budget is a number of bytes that several buffers share.
type Budget struct {
	// Limit is the size of the budget in bytes.
	Limit int64

	used atomic.Int64
}

// Used returns the bytes that are reserved.
func (b *Budget) Used() int64 { return b.used.Load() }

func (b *Budget) reserve(n, limit int64) error {
	if b.used.Add(n) > limit {
		b.used.Add(-n)
		return ErrExhausted
	}
	return nil
}

// Reservation is the part of a budget that one request holds. It may be used by one goroutine at a time.
type Reservation struct {
	Budget *Budget

	size int64
}

// Add reserves n more bytes.
func (r *Reservation) Add(n int64) error {
	limit := r.Budget.Limit
	if r.size+n > largeSize {
		limit -= limit / freeDivisor
	}
	if err := r.Budget.reserve(n, limit); err != nil {
		return err
	}
	r.size += n
	return nil
}

// Release returns all reserved bytes to the budget.
func (r *Reservation) Release() {
	r.Budget.used.Add(-r.size)
	r.size = 0
}

// ReadAll reads from src until its end, at most limit bytes, into a buffer that is reserved as it grows. expected is the size that
// the sender stated, or negative if it stated none.
func (r *Reservation) ReadAll(src io.Reader, expected, limit int64) ([]byte, error) {
	// One more byte than expected leaves room to notice the end.
	data, err := r.grow(nil, max(minBuffer, min(expected, limit, maxFirstBuffer)+1))
	for err == nil {
		var n int
		n, err = src.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		if int64(len(data)) > limit {
			return nil, ErrTooLong
		}
		if err == nil && len(data) == cap(data) {
			data, err = r.grow(data, min(int64(cap(data)), limit+1-int64(cap(data))))
		}
	}
	if err != io.EOF {
		return nil, err
	}
	return data, nil
}

// grow returns data with room for n more bytes.
func (r *Reservation) grow(data []byte, n int64) ([]byte, error) {
	if err := r.Add(n); err != nil {
		return nil, err
	}
	grown := make([]byte, len(data), int64(cap(data))+n)
	copy(grown, data)
	return grown, nil
}
