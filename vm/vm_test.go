package vm_test

import (
	"context"
	"errors"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/vm"
)

func newMux() *vm.Mux {
	m := vm.NewMux()
	vm.Handle(m, chestnutcleat.MethodTake, func(_ context.Context, r chestnutcleat.TakeRequest) (chestnutcleat.TakeReply, error) {
		switch r.Customer {
		case "moved":
			return chestnutcleat.TakeReply{}, &chestnutcleat.NotOwner{Key: chestnutcleat.CustomerKey("moved"), Place: chestnutcleat.OwnerLocation{VM: "b", Epoch: 7}}
		case "refused":
			return chestnutcleat.TakeReply{}, chestnutcleat.NewProblem(chestnutcleat.CodeBusy, chestnutcleat.NotRun, "busy").WithRetry(time.Second)
		case "broken":
			return chestnutcleat.TakeReply{}, errors.New("broken")
		}
		return chestnutcleat.TakeReply{Admitted: true, Retry: time.Millisecond * time.Duration(r.Count)}, nil
	})
	return m
}

// If typed errors lost their type in transport, the sender could not see redirects and outcomes.
func TestErrorsKeepTheirType(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- vm.Serve(ctx, l, newMux()) }()
	c := vm.NewClient()
	memory := vm.NewNetwork(1)
	memory.Attach("b", newMux())
	peers := map[string]chestnutcleat.Peers{"tcp": c, "memory": memory.From("a")}
	address := map[string]chestnutcleat.Address{"tcp": chestnutcleat.Address(l.Addr().String()), "memory": "b"}
	for name, p := range peers {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			call := func(c chestnutcleat.CustomerID) (chestnutcleat.TakeReply, error) {
				var r chestnutcleat.TakeReply
				err := p.Call(ctx, address[name], chestnutcleat.MethodTake, chestnutcleat.TakeRequest{Customer: c, Count: 3}, &r)
				return r, err
			}
			r, err := call("c")
			is.NoErr(err)
			is.Equal(r.Retry, 3*time.Millisecond)
			var moved *chestnutcleat.NotOwner
			_, err = call("moved")
			is.True(errors.As(err, &moved))
			is.Equal(moved.Place.Epoch, chestnutcleat.Epoch(7))
			var refused *chestnutcleat.Problem
			_, err = call("refused")
			is.True(errors.As(err, &refused))
			is.Equal(refused.Retry, 1.0)
			var remote *vm.RemoteError
			_, err = call("broken")
			is.True(errors.As(err, &remote))
		})
	}
	c.Close()
	cancel()
	<-done
}

// A partition in one direction must lose the reply although the request took effect.
func TestOneWayPartition(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := vm.NewNetwork(1)
		n.Delay = time.Millisecond
		ran := 0
		m := vm.NewMux()
		vm.Handle(m, chestnutcleat.MethodTake, func(context.Context, chestnutcleat.TakeRequest) (chestnutcleat.Ack, error) {
			ran++
			return chestnutcleat.Ack{}, nil
		})
		n.Attach("b", m)
		n.Block("b", "a")
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		var r chestnutcleat.Ack
		err := n.From("a").Call(ctx, "b", chestnutcleat.MethodTake, chestnutcleat.TakeRequest{}, &r)
		is.True(errors.Is(err, vm.ErrUnreachable))
		is.Equal(ran, 1)
	})
}

func BenchmarkCallTCP(b *testing.B) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	ctx, cancel := context.WithCancel(b.Context())
	defer cancel()
	go vm.Serve(ctx, l, newMux())
	c := vm.NewClient()
	defer c.Close()
	for b.Loop() {
		var r chestnutcleat.TakeReply
		if err := c.Call(ctx, chestnutcleat.Address(l.Addr().String()), chestnutcleat.MethodTake, chestnutcleat.TakeRequest{Customer: "c", Count: 1}, &r); err != nil {
			b.Fatal(err)
		}
	}
}

// A process that closes its listeners at the end of a graceful shutdown must not exit with a listener error.
func TestServeReturnsNilOnClosedListener(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	done := make(chan error, 1)
	go func() { done <- vm.Serve(t.Context(), l, newMux()) }()
	is.NoErr(l.Close())
	is.NoErr(<-done)
}

// A panic in a handler must only return an error to the sender; without recovery it terminates the process.
func TestHandlerPanic(t *testing.T) {
	is := is.New(t)
	m := vm.NewMux()
	var panicked []chestnutcleat.Method
	m.OnPanic = func(method chestnutcleat.Method, _ error) { panicked = append(panicked, method) }
	vm.Handle(m, "panics", func(context.Context, int) (int, error) { var list []int; return list[1], nil })
	vm.Handle(m, "echo", func(_ context.Context, n int) (int, error) { return n, nil })
	network := vm.NewNetwork(1)
	network.Attach("b", m)
	p := network.From("a")
	var n int
	is.True(p.Call(t.Context(), "b", "panics", 7, &n) != nil)
	is.Equal(panicked, []chestnutcleat.Method{"panics"})
	is.NoErr(p.Call(t.Context(), "b", "echo", 7, &n))
	is.Equal(n, 7)
}
