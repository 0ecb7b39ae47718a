package vm_test

import (
	"bytes"
	"encoding/binary"
	"net"
	"testing"

	"github.com/matryer/is"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/vm"
)

const (
	// maxRead bounds what is read of one message, with the buffers of the sockets, and giveUp is what a sender sends at most, in bytes.
	maxRead = 8<<20 + 16<<20
	giveUp  = 96 << 20
)

// frame returns the head of a frame of DRPC of the first stream and message: its kind, whether it is the last one of the message, and the
// length of its data.
func frame(kind byte, done bool, length uint64) []byte {
	head := []byte{kind << 1, 1, 1}
	if done {
		head[0] |= 1
	}
	return binary.AppendUvarint(head, length)
}

// Kinds of frames of DRPC.
const (
	kindInvoke  = 1
	kindMessage = 2
	kindError   = 3
)

// endlessMessages are messages of which the last part is repeated without end.
var endlessMessages = map[string]struct{ start, repeated []byte }{
	"junk":              {nil, bytes.Repeat([]byte{0xff}, 4096)},
	"zeros":             {nil, make([]byte, 4096)},
	"one frame":         {frame(kindMessage, true, 1<<40), make([]byte, 4096)},
	"frame of an error": {frame(kindError, true, 1<<40), make([]byte, 4096)},
	"frame of a method": {frame(kindInvoke, true, 1<<40), make([]byte, 4096)},
	"many frames":       {nil, append(frame(kindMessage, false, 4096), make([]byte, 4096)...)},
	"frames of methods": {nil, append(frame(kindInvoke, false, 4096), make([]byte, 4096)...)},
}

// sendEndlessly sends a message without end, and returns how many bytes were taken before the connection ended.
func sendEndlessly(c net.Conn, start, repeated []byte) int {
	defer c.Close()
	n, err := c.Write(start)
	for err == nil && n < giveUp {
		var m int
		m, err = c.Write(repeated)
		n += m
	}
	return n
}

// What connects to a VM may send without end: the VM must read a bounded part, end the connection and go on serving others.
func TestEndlessRequests(t *testing.T) {
	for name, tt := range endlessMessages {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			l, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			done := make(chan error, 1)
			go func() { done <- vm.Serve(t.Context(), l, newMux()) }()
			c, err := net.Dial("tcp", l.Addr().String())
			is.NoErr(err)
			is.True(sendEndlessly(c, tt.start, tt.repeated) <= maxRead)
			client := vm.NewClient()
			var r chestnutcleat.TakeReply
			is.NoErr(client.Call(t.Context(), chestnutcleat.Address(l.Addr().String()), chestnutcleat.MethodTake, chestnutcleat.TakeRequest{Customer: "c", Count: 1}, &r))
			client.Close()
			is.NoErr(l.Close())
			is.NoErr(<-done)
		})
	}
}

// What answers at a VM's address may send without end: the call must fail after a bounded part.
func TestEndlessReplies(t *testing.T) {
	for name, tt := range endlessMessages {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			l, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			defer l.Close()
			sent := make(chan int, 1)
			go func() {
				c, err := l.Accept()
				if err != nil {
					sent <- giveUp
					return
				}
				sent <- sendEndlessly(c, tt.start, tt.repeated)
			}()
			client := vm.NewClient()
			defer client.Close()
			var r chestnutcleat.TakeReply
			is.True(client.Call(t.Context(), chestnutcleat.Address(l.Addr().String()), chestnutcleat.MethodTake, chestnutcleat.TakeRequest{Customer: "c", Count: 1}, &r) != nil)
			is.True(<-sent <= maxRead)
		})
	}
}
