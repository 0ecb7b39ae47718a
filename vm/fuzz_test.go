package vm_test

import (
	"testing"
	"time"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/vm"
)

// A malformed message from another VM must cause an error, never a panic; a value that was decoded must encode again.
func FuzzDecode(f *testing.F) {
	call := chestnutcleat.Call{Customer: "c", Program: "p", ID: "1", History: []chestnutcleat.Digest{{1}}, Deadline: time.Unix(1, 5)}
	for _, v := range []any{
		chestnutcleat.BeginRequest{ID: "r", Call: call},
		chestnutcleat.SettleRequest{Answer: chestnutcleat.Answer{Body: []byte("x"), Problem: chestnutcleat.NewProblem(chestnutcleat.CodeBusy, chestnutcleat.NotRun, "busy")}},
		chestnutcleat.AcquireReply{Ticket: &chestnutcleat.Ticket{ID: "t", Expiry: time.Unix(2, 0)}},
		[]chestnutcleat.Record{{Slot: 1, Name: "program/book/x", Data: []byte{1}}},
	} {
		data, err := vm.Encode(v)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		checkRoundTrip[chestnutcleat.BeginRequest](t, data)
		checkRoundTrip[chestnutcleat.SettleRequest](t, data)
		checkRoundTrip[chestnutcleat.AcquireReply](t, data)
		checkRoundTrip[[]chestnutcleat.Record](t, data)
	})
}

func checkRoundTrip[T any](t *testing.T, data []byte) {
	v, err := vm.Decode[T](data)
	if err != nil {
		return
	}
	if _, err := vm.Encode(v); err != nil {
		t.Errorf("%T decodes but does not encode: %v", v, err)
	}
}

// FuzzText guards against ids of callers that can be sent but not received, which held up all messages behind them.
func FuzzText(f *testing.F) {
	f.Add("")
	f.Add("id")
	f.Add("\xff")
	f.Add("a\xc0\x80\x00")
	f.Fuzz(func(t *testing.T, text string) {
		data, err := vm.Encode(chestnutcleat.BeginRequest{ID: chestnutcleat.RequestID(text)})
		if err != nil {
			t.Fatal(err)
		}
		if got, err := vm.Decode[chestnutcleat.BeginRequest](data); err != nil || string(got.ID) != text {
			t.Errorf("%q became %q: %v", text, got.ID, err)
		}
	})
}
