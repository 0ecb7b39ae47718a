package caller

import (
	"encoding/json"
	"net/http"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/engine"
)

// streamEnd is the data of the last event of a complete stream.
const streamEnd = "[DONE]"

func (x *chatExchange) deliver() {
	if !x.chat.Stream {
		x.writeBody(http.StatusOK, typeJSON, x.body)
		return
	}
	x.deliverStreamEnd()
}

// deliverStreamEnd sends the finish reason, the usage if the caller wants it, and the end marker.
func (x *chatExchange) deliverStreamEnd() {
	if x.c.isUndeliverable() {
		return
	}
	x.sendChoices(engine.Choice{Delta: &engine.Delta{}, FinishReason: &x.finishReason})
	if x.chat.WantsUsage() && x.usage != nil {
		x.sendChunk(engine.Completion{Choices: []engine.Choice{}, Usage: x.usage})
	}
	x.events.send("", []byte(streamEnd))
}

func (x *chatExchange) writeBody(status int, contentType string, body []byte) {
	if x.c.isUndeliverable() {
		return
	}
	x.c.w.Header().Set("Content-Type", contentType)
	writeResponse(x.c.w, status, body, false)
}

func (x *chatExchange) replay(a chestnutcleat.Answer) {
	var c engine.Completion
	if !x.chat.Stream || json.Unmarshal(a.Body, &c) != nil || len(c.Choices) != 1 || c.Choices[0].Message == nil || c.Choices[0].FinishReason == nil {
		x.writeBody(a.Status, a.Type, a.Body)
		return
	}
	x.created, x.finishReason, x.usage = c.Created, *c.Choices[0].FinishReason, c.Usage
	x.sendChoices(engine.Choice{Delta: &engine.Delta{Role: c.Choices[0].Message.Role, Content: c.Choices[0].Message.Text()}})
	x.deliverStreamEnd()
}

// interrupt ends a stream with an error event and without the end marker, so that callers don't take a truncated answer for
// a complete one.
func (x *chatExchange) interrupt(p *chestnutcleat.Problem) bool {
	if x.events == nil || !x.events.headerWritten {
		return false
	}
	data, err := json.Marshal(p)
	if err == nil {
		x.events.send("error", data)
	}
	return true
}

func (x *chatExchange) resumable() bool { return !x.hasToolCalls }

// boundTo returns the software version of the streamed text.
func (x *chatExchange) boundTo() (chestnutcleat.SoftwareVersion, bool) {
	return x.version, x.tokens > 0
}
