package e2e

import (
	"context"
	"fmt"
	"testing"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"chestnutcleat.example/chestnutcleat/engine"
)

// A caller that loses its connection in the middle of a stream must get the same complete answer from another VM.
func TestStreamClosedAndRepeated(t *testing.T) {
	is := is.New(t)
	f := newFleet(t)
	ctx, cancel := context.WithTimeout(t.Context(), 2*waitTimeout)
	defer cancel()
	c := newCaller(f, false)
	// The stand-in engine's answer depends on the messages alone, so an undisturbed call gives the expected one.
	messages := []engine.Message{question("list the orchards", 120)}
	want, err := c.sendWithRetries(ctx, 0, request{id: "c1", program: "reference", path: chatPath, body: chatBody(messages, true)})
	is.NoErr(err)
	is.Equal(len(want.text), 4*120)

	var g errgroup.Group
	for i, limit := range []int{0, 1, 40, 200, 440} {
		g.Go(func() error {
			req := request{id: "c1", program: fmt.Sprintf("cut-%d", i), path: chatPath, body: chatBody(messages, true)}
			part, err := c.readPartial(ctx, i, req, limit)
			if err != nil {
				return fmt.Errorf("first attempt of %s: %w", req.program, err)
			}
			if len(part) >= len(want.text) || part != want.text[:len(part)] {
				return fmt.Errorf("first attempt of %s: %q is not a proper prefix of the answer", req.program, part)
			}
			a, err := c.sendWithRetries(ctx, i+1, req)
			if err != nil {
				return fmt.Errorf("second attempt of %s: %w", req.program, err)
			}
			if a.text != want.text {
				return fmt.Errorf("second attempt of %s: got %q, want %q", req.program, a.text, want.text)
			}
			return nil
		})
	}
	is.NoErr(g.Wait())
	is.Equal(c.interrupted.Load(), int64(0))
	is.Equal(c.refused.Load(), int64(0))
}

// readPartial reads the beginning of a stream and closes the connection.
func (c *caller) readPartial(ctx context.Context, vm int, req request, limit int) (string, error) {
	resp, err := c.post(ctx, c.vmAddresses[vm%len(c.vmAddresses)], req)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	return readEvents(resp.Body, limit)
}
