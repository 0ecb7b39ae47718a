package engine

import (
	"encoding/json"

	"chestnutcleat.example/chestnutcleat"
)

// Values of the field "object" in the chat completions protocol.
const (
	ObjectCompletion = "chat.completion"
	ObjectChunk      = "chat.completion.chunk"
)

// Values of the field "finish_reason".
const (
	FinishStop   = "stop"
	FinishLength = "length"
)

// Completion is a chat completion, or one event of a streamed completion.
type Completion struct {
	ID      string                  `json:"id"`
	Object  string                  `json:"object"`
	Created int64                   `json:"created"`
	Model   chestnutcleat.ModelName `json:"model"`
	Choices []Choice                `json:"choices"`
	Usage   *Usage                  `json:"usage,omitempty"`
}

// Choice is one choice of a completion.
type Choice struct {
	Index        int      `json:"index"`
	Message      *Message `json:"message,omitempty"`
	Delta        *Delta   `json:"delta,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

// Delta is the part of a message that one event of a stream adds.
type Delta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content,omitempty"`
	// ToolCalls are passed through unchanged.
	ToolCalls json.RawMessage `json:"tool_calls,omitempty"`
}
