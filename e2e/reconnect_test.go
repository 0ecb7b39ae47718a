package e2e

import (
	"context"
	"fmt"
	"testing"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"chestnutcleat.example/chestnutcleat/engine"
)

// A caller whose connection closes in the middle of a stream must get the same whole answer from another VM.
func TestStreamClosedAndRepeated(t *testing.T) {
	is := is.New(t)
	f := newFleet(t)
	ctx, cancel := context.WithTimeout(t.Context(), 2*bound)
	defer cancel()
	c := newCaller(f, false)
	// The stand-in engine computes the answer from the messages alone, so an undisturbed call gives the expected one.
	messages := []engine.Message{question("list the orchards", 120)}
	want, err := c.do(ctx, 0, call{id: "c1", program: "reference", path: chatPath, body: chat(messages, true)})
	is.NoErr(err)
	is.Equal(len(want.text), 4*120)

	var g errgroup.Group
	for i, bytes := range []int{0, 1, 40, 200, 440} {
		g.Go(func() error {
			q := call{id: "c1", program: fmt.Sprintf("cut-%d", i), path: chatPath, body: chat(messages, true)}
			part, err := c.head(ctx, i, q, bytes)
			if err != nil {
				return fmt.Errorf("first attempt of %s: %w", q.program, err)
			}
			if len(part) >= len(want.text) || part != want.text[:len(part)] {
				return fmt.Errorf("first attempt of %s: %q is no proper beginning of the answer", q.program, part)
			}
			a, err := c.do(ctx, i+1, q)
			if err != nil {
				return fmt.Errorf("second attempt of %s: %w", q.program, err)
			}
			if a.text != want.text {
				return fmt.Errorf("second attempt of %s: got %q, want %q", q.program, a.text, want.text)
			}
			return nil
		})
	}
	is.NoErr(g.Wait())
	is.Equal(c.cut.Load(), int64(0))
	is.Equal(c.refused.Load(), int64(0))
}

// head reads the beginning of a stream and closes the connection.
func (c *caller) head(ctx context.Context, vm int, q call, limit int) (string, error) {
	p, err := c.open(ctx, c.vms[vm%len(c.vms)], q)
	if err != nil {
		return "", err
	}
	defer p.Body.Close()
	return readEvents(p.Body, limit)
}
