package caller

import (
	"encoding/json"
	"mime"
	"net/http"
	"strings"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/engine"
)

// serveChat handles a chat completion request.
func (h *Handler) serveChat(w http.ResponseWriter, r *http.Request, who identity) *chestnutcleat.Problem {
	if r.Method != http.MethodPost {
		return methodNotAllowed(w, http.MethodPost)
	}
	mediaType, parameters, err := mime.ParseMediaType(r.Header.Get("Content-Type"))
	if err != nil || mediaType != typeJSON || parameters["charset"] != "" && !strings.EqualFold(parameters["charset"], "utf-8") {
		return notRunProblem(chestnutcleat.CodeBadRequest, "the content type must be %s", typeJSON)
	}
	if r.URL.RawQuery != "" {
		return notRunProblem(chestnutcleat.CodeBadRequest, "the path takes no query")
	}
	body, p := h.readBody(w, r, who)
	if p != nil {
		return p
	}
	var chat engine.Chat
	if err := json.Unmarshal(body, &chat); err != nil {
		if who.anonymous {
			return notRunProblem(chestnutcleat.CodeKeyMissing, "the route needs a key")
		}
		return notRunProblem(chestnutcleat.CodeBadRequest, "the body is not a chat: %v", err)
	}
	route, ok := h.Directory.Model(chat.Model)
	if !ok || route.Kind != chestnutcleat.UpstreamEngine {
		if who.anonymous {
			return notRunProblem(chestnutcleat.CodeKeyMissing, "the route needs a key")
		}
		return notRunProblem(chestnutcleat.CodeRouteUnknown, "no such model")
	}
	c, hdr, p := h.admit(w, r, who, route, body)
	if p != nil {
		return p
	}
	c.call.History = engine.HistoryDigests(chat.Messages)
	c.call.Prompt = chat.PromptTokens()
	c.call.Output = chat.MaxTokens
	if c.call.Output == 0 {
		c.call.Output = h.MaxTokens
	}
	c.exchange = &chatExchange{c: c, chat: chat, header: r.Header, id: "chatcmpl-" + string(hdr.call)}
	c.serve(r, h.requests.isDraining() && hdr.mayStartProgram)
	return nil
}
