package guard

import (
	"errors"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// A function that panics must return an error with the stack of the panic; one that does not panic must return no error.
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
