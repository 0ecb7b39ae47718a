package vm

import (
	"context"
	"errors"
	"fmt"
	"net"

	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcserver"
	"storj.io/drpc/drpcwire"
)

// maxMessageBytes bounds a message; it exceeds the largest manifest part and the largest batch of records.
const maxMessageBytes = 8 << 20

// Serve serves requests on a listener until ctx is done or the listener is closed, neither of which is an error.
func Serve(ctx context.Context, l net.Listener, m *Mux) error {
	o := drpcserver.Options{Manager: managerOptions()}
	if err := drpcserver.NewWithOptions(m, o).Serve(ctx, l); err != nil && ctx.Err() == nil && !errors.Is(err, net.ErrClosed) {
		return fmt.Errorf("serve VMs on %s: %w", l.Addr(), err)
	}
	return nil
}

func managerOptions() drpcmanager.Options {
	return drpcmanager.Options{
		Reader:     drpcwire.ReaderOptions{MaximumBufferSize: maxMessageBytes},
		SoftCancel: true,
	}
}
