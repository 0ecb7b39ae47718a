package engine

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"
)

// A malformed stream must end with an error and must not yield more data than the input has.
func FuzzReader(f *testing.F) {
	f.Add("data: {}\n\ndata: [DONE]\n\n")
	f.Add("data:a\r\ndata: b\r\n\r\n: comment\nevent: x\n\n")
	f.Add("data: cut")
	f.Fuzz(func(t *testing.T, in string) {
		r := NewEventReader(strings.NewReader(in))
		total := 0
		for {
			data, err := r.Next()
			if err != nil {
				break
			}
			total += len(data)
		}
		if total > len(in) {
			t.Errorf("read %d bytes of data from an input of %d bytes", total, len(in))
		}
	})
}

// An accepted chat must be the same after it is encoded and decoded.
func FuzzChat(f *testing.F) {
	f.Add([]byte(`{"model":"m","messages":[{"role":"user","content":"hello"}],"max_tokens":5,"temperature":0.5}`))
	f.Add([]byte(`{"model":"m","messages":[{"role":"tool","content":[{"type":"text"}],"tool_call_id":"x"}],"stream":true}`))
	f.Add([]byte(`{"model":"m","messages":[null]}`))
	f.Fuzz(func(t *testing.T, in []byte) {
		var a, b Chat
		if json.Unmarshal(in, &a) != nil {
			return
		}
		out, err := json.Marshal(a)
		if err != nil {
			t.Fatalf("encode an accepted chat: %v", err)
		}
		if err := json.Unmarshal(out, &b); err != nil {
			t.Fatalf("decode an encoded chat: %v", err)
		}
		x, y := HistoryDigests(a.Messages), HistoryDigests(b.Messages)
		if a.Model != b.Model || a.Stream != b.Stream || a.MaxTokens != b.MaxTokens || len(x) != len(y) || x[len(x)-1] != y[len(y)-1] {
			t.Errorf("chat changed from %+v to %+v", a, b)
		}
		again, err := json.Marshal(b)
		if err != nil || !bytes.Equal(again, out) {
			t.Errorf("encoding is not stable: %s and %s (%v)", out, again, err)
		}
	})
}
