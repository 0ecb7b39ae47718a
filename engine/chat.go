package engine

import (
	"encoding/json"
	"errors"
	"fmt"

	"chestnutcleat.example/chestnutcleat"
)

// Chat is the body of a chat completions request; unknown fields are passed through.
type Chat struct {
	Model    chestnutcleat.ModelName
	Messages []Message
	Stream   bool
	// MaxTokens limits the output; zero means that the caller set no limit.
	MaxTokens chestnutcleat.Tokens

	fields map[string]json.RawMessage
}

// UnmarshalJSON implements json.Unmarshaler.
func (c *Chat) UnmarshalJSON(data []byte) error {
	c.fields = nil
	if err := json.Unmarshal(data, &c.fields); err != nil {
		return err
	}
	var maxCompletion chestnutcleat.Tokens
	targets := map[string]any{"model": &c.Model, "messages": &c.Messages, "stream": &c.Stream, "max_tokens": &c.MaxTokens, "max_completion_tokens": &maxCompletion}
	for name, target := range targets {
		raw, ok := c.fields[name]
		if !ok {
			continue
		}
		if err := json.Unmarshal(raw, target); err != nil {
			return fmt.Errorf("field %q: %w", name, err)
		}
	}
	if c.MaxTokens < 0 || maxCompletion < 0 {
		return errors.New("field \"max_tokens\" is negative")
	}
	if maxCompletion > 0 && (c.MaxTokens == 0 || maxCompletion < c.MaxTokens) {
		c.MaxTokens = maxCompletion
	}
	return c.validate()
}

func (c *Chat) validate() error {
	if c.Model == "" {
		return errors.New("field \"model\" is empty")
	}
	if len(c.Messages) == 0 {
		return errors.New("field \"messages\" is empty")
	}
	for i, m := range c.Messages {
		if m.Role == "" {
			return fmt.Errorf("message %d has no role", i)
		}
	}
	var n int
	if raw, ok := c.fields["n"]; ok && (json.Unmarshal(raw, &n) != nil || n > 1) {
		return errors.New("field \"n\" must be 1")
	}
	return nil
}

// MarshalJSON implements json.Marshaler.
func (c Chat) MarshalJSON() ([]byte, error) {
	out := make(map[string]any, len(c.fields)+5)
	for k, v := range c.fields {
		out[k] = v
	}
	out["model"] = c.Model
	if _, ok := c.fields["messages"]; !ok {
		out["messages"] = c.Messages
	}
	delete(out, "max_completion_tokens")
	delete(out, "max_tokens")
	if c.MaxTokens > 0 {
		out["max_tokens"] = c.MaxTokens
	}
	delete(out, "stream")
	if c.Stream {
		out["stream"] = true
		// Budgets are charged by usage, so it is requested even if the caller does not want it.
		out["stream_options"] = map[string]bool{"include_usage": true}
	}
	return json.Marshal(out)
}

// WantsUsage reports whether the caller requested usage in a stream.
func (c Chat) WantsUsage() bool {
	var o struct {
		Include bool `json:"include_usage"`
	}
	return json.Unmarshal(c.fields["stream_options"], &o) == nil && o.Include
}

// PromptTokens estimates the number of prompt tokens.
func (c Chat) PromptTokens() chestnutcleat.Tokens {
	var n chestnutcleat.Tokens
	for _, m := range c.Messages {
		n += m.Tokens()
	}
	return n
}
