package engine

import (
	"encoding/json"

	"chestnutcleat.example/chestnutcleat"
)

// Objects of the chat completions protocol.
const (
	ObjectCompletion = "chat.completion"
	ObjectChunk      = "chat.completion.chunk"
)

// Reasons why an engine finished an answer.
const (
	FinishStop   = "stop"
	FinishLength = "length"
)

// Completion is an answer, or one event of a streamed answer.
type Completion struct {
	ID      string                  `json:"id"`
	Object  string                  `json:"object"`
	Created int64                   `json:"created"`
	Model   chestnutcleat.ModelName `json:"model"`
	Choices []Choice                `json:"choices"`
	Usage   *Usage                  `json:"usage,omitempty"`
}

// Choice is one choice of an answer.
type Choice struct {
	Index   int      `json:"index"`
	Message *Message `json:"message,omitempty"`
	Delta   *Delta   `json:"delta,omitempty"`
	Finish  *string  `json:"finish_reason"`
}

// Delta is the part of a message that one event adds.
type Delta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content,omitempty"`
	// ToolCalls are passed on as they are.
	ToolCalls json.RawMessage `json:"tool_calls,omitempty"`
}
