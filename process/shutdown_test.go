package process

import (
	"bufio"
	"context"
	"errors"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/settings"
)

var errPlatformDown = errors.New("platform is down")

// downPlatform is a platform that does not answer.
type downPlatform struct{ chestnutcleat.Platform }

func (downPlatform) Get(context.Context, chestnutcleat.ObjectName) (chestnutcleat.Object, error) {
	return chestnutcleat.Object{}, errPlatformDown
}

func (downPlatform) Put(context.Context, chestnutcleat.Object) (chestnutcleat.Version, error) {
	return 0, errPlatformDown
}

func (downPlatform) List(context.Context, chestnutcleat.ObjectName) ([]chestnutcleat.Object, error) {
	return nil, errPlatformDown
}

func (downPlatform) Watch(ctx context.Context, _ []chestnutcleat.ObjectName, _ chestnutcleat.Version) ([]chestnutcleat.Object, error) {
	<-ctx.Done()
	return nil, errPlatformDown
}

func (downPlatform) VMs(context.Context) ([]chestnutcleat.ListedVM, error) {
	return nil, errPlatformDown
}

type discardObserver struct{}

func (discardObserver) Emit(chestnutcleat.EventID, ...any) {}

// A VM whose slots can't be handed over must close its listener in time and answer what is in progress: it accepted connections until
// the end of its grace period and then cut them all.
func TestShutdownWithoutHandover(t *testing.T) {
	is := is.New(t)
	ready, stop := make(chan struct{}), make(chan struct{})
	p := &Process{
		Settings: settings.Settings{
			VM: "v1", Addresses: settings.Addresses{Callers: "127.0.0.1:0", Operators: "127.0.0.1:0", VMs: "127.0.0.1:0"},
			Grace: chestnutcleat.Duration(time.Hour),
		},
		Platform: downPlatform{}, Observer: discardObserver{}, Stop: stop, Ready: func() { close(ready) }, staleLists: time.Millisecond,
		handOver: func(ctx context.Context) error {
			<-ctx.Done()
			return ctx.Err()
		},
	}
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- p.Run(ctx) }()
	<-ready
	address := string(p.Addresses().Callers)
	c, err := net.Dial("tcp", address)
	is.NoErr(err)
	defer c.Close()
	_, err = c.Write([]byte("GET /v1/vms HTTP/1.1\r\n"))
	is.NoErr(err)
	close(stop)
	for err == nil {
		var probe net.Conn
		if probe, err = net.Dial("tcp", address); err == nil {
			is.NoErr(probe.Close())
		}
	}
	_, err = c.Write([]byte("\r\n"))
	is.NoErr(err)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	is.NoErr(err)
	is.NoErr(resp.Body.Close())
	is.Equal(resp.StatusCode, http.StatusBadRequest) // the request names no host
	cancel()
	is.True(<-ended != nil) // the handover was cut short
}
