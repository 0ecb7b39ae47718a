package vm

import (
	"context"
	"fmt"

	"storj.io/drpc"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/guard"
)

// Mux dispatches requests to the handlers of their methods.
type Mux struct {
	// OnPanic is called with the panic of a handler as an error, before the sender gets an error; nil ignores it.
	OnPanic func(chestnutcleat.Method, error)

	handlers map[chestnutcleat.Method]func(context.Context, []byte) ([]byte, error)
}

// NewMux returns a mux without handlers.
func NewMux() *Mux {
	return &Mux{handlers: map[chestnutcleat.Method]func(context.Context, []byte) ([]byte, error){}}
}

// Handle registers the handler of a method; all handlers must be registered before the mux serves requests.
func Handle[Req, Resp any](m *Mux, method chestnutcleat.Method, f func(context.Context, Req) (Resp, error)) {
	m.handlers[method] = func(ctx context.Context, data []byte) ([]byte, error) {
		in, err := Decode[Req](data)
		if err != nil {
			return nil, err
		}
		out, err := f(ctx, in)
		if err != nil {
			return nil, err
		}
		return Encode(out)
	}
}

// serve handles one encoded request; a panic of its handler becomes an error.
func (m *Mux) serve(ctx context.Context, method chestnutcleat.Method, data []byte) reply {
	f, ok := m.handlers[method]
	if !ok {
		return newReply(nil, fmt.Errorf("method %q is not known", method))
	}
	var body []byte
	var err error
	if p := guard.Call(func() { body, err = f(ctx, data) }); p != nil {
		if m.OnPanic != nil {
			m.OnPanic(method, p)
		}
		return newReply(nil, fmt.Errorf("method %q: %w", method, p))
	}
	return newReply(body, err)
}

// HandleRPC implements drpc.Handler.
func (m *Mux) HandleRPC(s drpc.Stream, rpc string) error {
	var data []byte
	if err := s.MsgRecv(&data, Encoding{}); err != nil {
		return fmt.Errorf("receive %s: %w", rpc, err)
	}
	r := m.serve(s.Context(), chestnutcleat.Method(rpc), data)
	if err := s.MsgSend(&r, Encoding{}); err != nil {
		return fmt.Errorf("answer %s: %w", rpc, err)
	}
	return nil
}
