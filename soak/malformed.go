package soak

import (
	"bytes"
	"context"
	"math"
	"math/rand/v2"
	"net"
	"slices"
	"strings"
	"time"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/vm"
)

const (
	// malformedInterval is the time between two malformed messages, and malformedTimeout bounds sending one.
	malformedInterval = 20 * time.Millisecond
	malformedTimeout  = 200 * time.Millisecond
	// maxRandomBytes bounds messages of random bytes, and maxNesting the depth of nested values; both fit a datagram.
	maxRandomBytes = 1400
	maxNesting     = 30_000
)

// messageMembers are members of the messages between VMs, and messageFields fields of these members.
var (
	messageMembers = []string{"part", "summary", "forwarded", "digest", "question", "grant"}
	messageFields  = []string{
		"vm", "role", "domain", "address", "incarnation", "sequence", "versions", "breaks", "load", "tally", "programs", "left",
		"from", "number", "tokens", "to", "group", "heard", "near",
	}
)

// vmMethods are the methods of the VMs.
var vmMethods = []chestnutcleat.Method{
	"ledger/append", "ledger/fetch", "ledger/adopt", "ledger/dump", "ledger/join", "ledger/origin", "mirror/packed", "checkpoint/save",
	"checkpoint/load", "entry/blocks", "entry/keep", "no/such",
}

// sendMalformed sends malformed datagrams, bytes and calls to all VMs in turn until ctx is done.
func (f *fleet) sendMalformed(ctx context.Context, random *rand.Rand) {
	client := vm.NewClient()
	defer client.Close()
	all := slices.Concat(f.names.entries, f.names.stores)
	for i := 0; chestnutcleat.Sleep(ctx, malformedInterval) == nil; i++ {
		to := f.processes[all[i%len(all)]].settings.Internal()
		switch random.IntN(3) {
		case 0:
			sendBytes(ctx, "udp", to, malformedMessage(random))
		case 1:
			sendBytes(ctx, "tcp", to, malformedMessage(random))
		case 2:
			callCtx, cancel := context.WithTimeout(ctx, malformedTimeout)
			// An error is what a malformed request should get.
			_ = client.Call(callCtx, to, vmMethods[random.IntN(len(vmMethods))], oddValue(random), nil)
			cancel()
		}
	}
}

// sendBytes sends bytes to a VM. Errors are ignored, as the VM may be down and may close the connection.
func sendBytes(ctx context.Context, network string, to chestnutcleat.Address, data []byte) {
	d := net.Dialer{Timeout: malformedTimeout}
	c, err := d.DialContext(ctx, network, string(to))
	if err != nil {
		return
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(malformedTimeout))
	_, _ = c.Write(data)
}

// malformedMessage returns random bytes, a nesting that is too deep, or a message with odd fields that is whole, cut off or has a changed byte.
func malformedMessage(random *rand.Rand) []byte {
	switch random.IntN(4) {
	case 0:
		return randomBytes(random)
	case 1:
		return append(bytes.Repeat([]byte{0x81}, 1+random.IntN(maxNesting)), 0)
	}
	data, err := vm.Encode(oddMessage(random))
	if err != nil {
		return randomBytes(random)
	}
	switch random.IntN(3) {
	case 0:
		return data[:random.IntN(len(data))]
	case 1:
		data[random.IntN(len(data))] ^= byte(1 + random.IntN(255))
	}
	return data
}

func randomBytes(random *rand.Rand) []byte {
	data := make([]byte, 1+random.IntN(maxRandomBytes))
	for i := range data {
		data[i] = byte(random.Uint32())
	}
	return data
}

// oddMessage returns a message of no known VM with odd fields.
func oddMessage(random *rand.Rand) any {
	member := map[string]any{"vm": "nobody", "from": "nobody"}
	for range 1 + random.IntN(4) {
		member[messageFields[random.IntN(len(messageFields))]] = oddValue(random)
	}
	return map[string]any{messageMembers[random.IntN(len(messageMembers))]: member}
}

// oddValue returns a value that few fields expect.
func oddValue(random *rand.Rand) any {
	list := []any{
		nil, -1, math.MinInt64, uint64(math.MaxUint64), math.NaN(), math.Inf(1), "", strings.Repeat("x", 900), "a\xff", []byte{0xff}, true,
		[]any{[]any{[]any{}}}, []any{-1, "a", nil}, map[string]any{"": nil}, map[int]any{-1: -1}, map[string]any{"records": []any{nil, 7}},
	}
	return list[random.IntN(len(list))]
}
