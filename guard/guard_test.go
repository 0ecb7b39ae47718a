package guard

import (
	"errors"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// A call that panics must end as an error that tells where; one that does not must end as it would alone.
func TestCall(t *testing.T) {
	is := is.New(t)
	is.NoErr(Call(func() {}))
	var list []int
	err := Call(func() { list[3] = 1 })
	var p *Panic
	is.True(errors.As(err, &p))
	is.True(strings.Contains(err.Error(), "index out of range"))
	is.True(strings.Contains(string(p.Stack), "TestCall"))
}
