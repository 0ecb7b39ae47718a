package entry

import (
	"errors"
	"fmt"
	"net/http"
)

// resetUnlessFramed resets the connection of a caller by HTTP/1.0 whose answer breaks off: the answer has neither chunks nor a length, so
// that the end of its connection would make it look complete.
func (c *call) resetUnlessFramed() error {
	if c.r.ProtoAtLeast(1, 1) {
		return nil
	}
	conn, _, err := http.NewResponseController(c.w).Hijack()
	if err != nil {
		return fmt.Errorf("reset the caller's connection: %w", err)
	}
	if l, ok := conn.(interface{ SetLinger(seconds int) error }); ok {
		err = l.SetLinger(0)
	}
	return errors.Join(err, conn.Close())
}
