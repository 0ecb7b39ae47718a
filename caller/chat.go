package caller

import (
	"encoding/json"
	"mime"
	"net/http"
	"strings"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/engine"
)

// chat serves a chat completion.
func (h *Handler) chat(w http.ResponseWriter, r *http.Request, who identity) *chestnutcleat.Problem {
	if r.Method != http.MethodPost {
		return notAllowed(w, http.MethodPost)
	}
	kind, parameters, err := mime.ParseMediaType(r.Header.Get("Content-Type"))
	if err != nil || kind != typeJSON || parameters["charset"] != "" && !strings.EqualFold(parameters["charset"], "utf-8") {
		return refusal(chestnutcleat.CodeBadRequest, "the content type must be %s", typeJSON)
	}
	if r.URL.RawQuery != "" {
		return refusal(chestnutcleat.CodeBadRequest, "the path takes no query")
	}
	body, p := h.body(w, r, who)
	if p != nil {
		return p
	}
	var chat engine.Chat
	if err := json.Unmarshal(body, &chat); err != nil {
		if who.anonymous {
			return refusal(chestnutcleat.CodeKeyMissing, "the route needs a key")
		}
		return refusal(chestnutcleat.CodeBadRequest, "the body is not a chat: %v", err)
	}
	route, ok := h.Directory.Model(chat.Model)
	if !ok || route.Kind != chestnutcleat.UpstreamEngine {
		if who.anonymous {
			return refusal(chestnutcleat.CodeKeyMissing, "the route needs a key")
		}
		return refusal(chestnutcleat.CodeRouteUnknown, "no such model")
	}
	c, s, p := h.admit(w, r, who, route, body)
	if p != nil {
		return p
	}
	c.call.History = engine.History(chat.Messages)
	c.call.Prompt = chat.Prompt()
	c.call.Output = chat.MaxTokens
	if c.call.Output == 0 {
		c.call.Output = h.Output
	}
	c.exchange = &chatExchange{c: c, chat: chat, header: r.Header, id: "chatcmpl-" + string(s.call)}
	c.serve(r, h.active.isLeaving() && s.first)
	return nil
}
