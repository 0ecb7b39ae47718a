package memory

import (
	"bytes"
	"errors"
	"io"
	"testing"
	"testing/iotest"

	"github.com/matryer/is"
)

// endless sends bytes until its reader stops.
type endless struct{}

func (endless) Read(b []byte) (int, error) { return len(b), nil }

// Data must be read whole within its limit, reserved while it is held and released afterwards, whatever size its sender states.
func TestReadAll(t *testing.T) {
	const limit, budget = 1 << 20, 4 << 20
	errBroken := errors.New("broken")
	for name, tt := range map[string]struct {
		src      io.Reader
		expected int64
		size     int
		err      error
	}{
		"empty":                  {bytes.NewReader(nil), 0, 0, nil},
		"as stated":              {bytes.NewReader(make([]byte, 3000)), 3000, 3000, nil},
		"no size stated":         {bytes.NewReader(make([]byte, 300_000)), -1, 300_000, nil},
		"byte by byte":           {iotest.OneByteReader(bytes.NewReader(make([]byte, 700))), 700, 700, nil},
		"less than stated":       {bytes.NewReader(make([]byte, 10)), 1 << 40, 10, nil},
		"at the limit":           {bytes.NewReader(make([]byte, limit)), limit, limit, nil},
		"over the limit":         {bytes.NewReader(make([]byte, limit+1)), -1, 0, ErrTooLong},
		"without end":            {endless{}, -1, 0, ErrTooLong},
		"broken off":             {io.MultiReader(bytes.NewReader(make([]byte, 900)), iotest.ErrReader(errBroken)), 2000, 0, errBroken},
		"no more than its limit": {endless{}, 1 << 62, 0, ErrTooLong},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := &Budget{Limit: budget}
			r := Reservation{Budget: b}
			data, err := r.ReadAll(tt.src, tt.expected, limit)
			is.True(errors.Is(err, tt.err))
			is.Equal(len(data), tt.size)
			is.True(b.Used() >= int64(tt.size) && b.Used() <= limit+1)
			r.Release()
			is.Equal(b.Used(), int64(0))
		})
	}
}

// A stated size must not be reserved before its bytes arrive, and the budget must hold over all buffers.
func TestBudgetHolds(t *testing.T) {
	is := is.New(t)
	b := &Budget{Limit: 1 << 20}
	first := Reservation{Budget: b}
	_, err := first.ReadAll(iotest.TimeoutReader(iotest.OneByteReader(endless{})), 16<<20, 16<<20)
	is.True(errors.Is(err, iotest.ErrTimeout))
	is.True(b.Used() <= maxFirstBuffer+1)
	second := Reservation{Budget: b}
	_, err = second.ReadAll(endless{}, -1, 16<<20)
	is.True(errors.Is(err, ErrExhausted))
	is.True(b.Used() <= b.Limit)
	first.Release()
	second.Release()
	is.Equal(b.Used(), int64(0))
}

// Large bodies must leave room for small ones.
func TestLargeBodiesLeaveRoom(t *testing.T) {
	is := is.New(t)
	b := &Budget{Limit: 4 << 20}
	for i := range 4 {
		large := Reservation{Budget: b}
		is.Equal(large.Add(1<<20) == nil, i < 3)
	}
	for range 20 {
		small := Reservation{Budget: b}
		_, err := small.ReadAll(bytes.NewReader(make([]byte, 20_000)), 20_000, 1<<20)
		is.NoErr(err)
	}
}
