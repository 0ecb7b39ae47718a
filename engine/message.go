package engine

import (
	"bytes"
	"encoding/json"

	"chestnutcleat.example/chestnutcleat"
)

// Message is one message of a chat.
type Message struct {
	Role string `json:"role"`
	// Content is a JSON string, an array of parts, or null.
	Content    json.RawMessage `json:"content"`
	ToolCalls  json.RawMessage `json:"tool_calls,omitempty"`
	ToolCallID string          `json:"tool_call_id,omitempty"`
}

// NewMessage returns a message with text content.
func NewMessage(role, text string) Message {
	c, err := json.Marshal(text)
	if err != nil {
		c = []byte(`""`)
	}
	return Message{Role: role, Content: c}
}

// Text returns the content if it is a string, otherwise its canonical JSON.
func (m Message) Text() string {
	var s string
	if json.Unmarshal(m.Content, &s) == nil {
		return s
	}
	return string(canonical(m.Content))
}

// Tokens estimates the number of tokens as one per four bytes, rounded up.
func (m Message) Tokens() chestnutcleat.Tokens {
	return chestnutcleat.Tokens(len(m.Content)+len(m.ToolCalls)+3) / 4
}

// HistoryDigest returns the digest of the history that ends with m, given the digest of the history before m.
func (m Message) HistoryDigest(previous chestnutcleat.Digest) chestnutcleat.Digest {
	var b bytes.Buffer
	b.Write(previous[:])
	for _, s := range []string{m.Role, m.Text(), string(canonical(m.ToolCalls)), m.ToolCallID} {
		length, _ := json.Marshal(len(s))
		b.Write(length)
		b.WriteByte(':')
		b.WriteString(s)
	}
	return chestnutcleat.DigestOf(b.Bytes())
}

// HistoryDigests returns, for each message, the digest of the history that ends with it.
func HistoryDigests(messages []Message) []chestnutcleat.Digest {
	out := make([]chestnutcleat.Digest, 0, len(messages))
	var d chestnutcleat.Digest
	for _, m := range messages {
		d = m.HistoryDigest(d)
		out = append(out, d)
	}
	return out
}

// canonical returns the same bytes for equal JSON values, regardless of escapes and the order of object keys.
func canonical(raw json.RawMessage) []byte {
	d := json.NewDecoder(bytes.NewReader(raw))
	d.UseNumber()
	var v any
	if len(raw) == 0 || d.Decode(&v) != nil || v == nil {
		return nil
	}
	out, err := json.Marshal(v)
	if err != nil {
		return nil
	}
	return out
}
