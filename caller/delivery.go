package caller

import (
	"encoding/json"
	"net/http"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/engine"
)

// streamEnd is the data of the last event of a whole stream.
const streamEnd = "[DONE]"

func (x *chatExchange) deliver() {
	if !x.chat.Stream {
		x.document(http.StatusOK, typeJSON, x.body)
		return
	}
	x.close()
}

// close ends a stream with its finish reason.
func (x *chatExchange) close() {
	if x.c.absent() {
		return
	}
	x.send(engine.Choice{Delta: &engine.Delta{}, Finish: &x.finish})
	if x.chat.WantsUsage() && x.usage != nil {
		x.write(engine.Completion{Choices: []engine.Choice{}, Usage: x.usage})
	}
	x.out.send("", []byte(streamEnd))
}

func (x *chatExchange) document(status int, kind string, body []byte) {
	if x.c.absent() {
		return
	}
	x.c.w.Header().Set("Content-Type", kind)
	write(x.c.w, status, body, false)
}

func (x *chatExchange) replay(a chestnutcleat.Answer) {
	var c engine.Completion
	if !x.chat.Stream || json.Unmarshal(a.Body, &c) != nil || len(c.Choices) != 1 || c.Choices[0].Message == nil || c.Choices[0].Finish == nil {
		x.document(a.Status, a.Type, a.Body)
		return
	}
	x.created, x.finish, x.usage = c.Created, *c.Choices[0].Finish, c.Usage
	x.send(engine.Choice{Delta: &engine.Delta{Role: c.Choices[0].Message.Role, Content: c.Choices[0].Message.Text()}})
	x.close()
}

// interrupt ends a stream with an error event and without its end mark, so that a truncated answer is not taken for a whole one.
func (x *chatExchange) interrupt(p *chestnutcleat.Problem) bool {
	if x.out == nil || !x.out.opened {
		return false
	}
	data, err := json.Marshal(p)
	if err == nil {
		x.out.send("error", data)
	}
	return true
}

func (x *chatExchange) resumable() bool { return !x.tools }
