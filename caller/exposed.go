package caller

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/url"
	"strings"

	"chestnutcleat.example/chestnutcleat"
)

// keyParameters are query parameters that carry keys in other systems.
var keyParameters = []string{"access_token", "api-key", "api_key", "apikey", "authorization"}

// exposed reports whether a request has a key in its path, query, or a header other than Authorization.
func (h *Handler) exposed(r *http.Request) bool {
	_, key, _ := strings.Cut(r.Header.Get("Authorization"), " ")
	query, err := url.QueryUnescape(r.URL.RawQuery)
	if err != nil {
		query = r.URL.RawQuery
	}
	texts := []string{r.RequestURI, r.URL.Path, query}
	for name, values := range r.Header {
		if name != "Authorization" {
			texts = append(texts, values...)
		}
	}
	for _, t := range texts {
		if h.shows([]byte(t), key) {
			return true
		}
	}
	for _, part := range strings.Split(r.URL.Path, "/") {
		if h.known([]byte(part)) {
			return true
		}
	}
	for name, values := range r.URL.Query() {
		for _, p := range keyParameters {
			if strings.EqualFold(name, p) {
				return true
			}
		}
		for _, v := range values {
			if h.known([]byte(v)) {
				return true
			}
		}
	}
	return false
}

// exposedBody reports whether a body has a key, also when its characters are escaped.
func (h *Handler) exposedBody(body []byte, key string) bool {
	if h.shows(body, key) {
		return true
	}
	if bytes.Contains(body, []byte(`\u`)) || bytes.Contains(body, []byte(`\/`)) {
		var v any
		if json.Unmarshal(body, &v) == nil && h.exposedValue(v, key) {
			return true
		}
	}
	if bytes.IndexByte(body, '%') >= 0 {
		if s, err := url.QueryUnescape(string(body)); err == nil {
			return h.shows([]byte(s), key)
		}
	}
	return false
}

func (h *Handler) exposedValue(v any, key string) bool {
	switch v := v.(type) {
	case string:
		return h.shows([]byte(v), key)
	case []any:
		for _, e := range v {
			if h.exposedValue(e, key) {
				return true
			}
		}
	case map[string]any:
		for k, e := range v {
			if h.shows([]byte(k), key) || h.exposedValue(e, key) {
				return true
			}
		}
	}
	return false
}

// shows reports whether text contains key or a word that is a key of the manifest.
func (h *Handler) shows(text []byte, key string) bool {
	if len(key) >= minKey && bytes.Contains(text, []byte(key)) {
		return true
	}
	start := 0
	for i := 0; i <= len(text); i++ {
		if i < len(text) && tokenByte(text[i]) {
			continue
		}
		if h.known(text[start:i]) {
			return true
		}
		if i+1 < len(text) && text[i] == '\\' {
			// The letter after a backslash belongs to the escape, not to the word.
			i++
		}
		start = i + 1
	}
	return false
}

// known reports whether a word is a key of the manifest.
func (h *Handler) known(word []byte) bool {
	if len(word) < minKey || len(word) > maxKey {
		return false
	}
	_, state := h.Directory.Key(chestnutcleat.DigestOf(word))
	return state == chestnutcleat.KeyActive || state == chestnutcleat.KeyWithdrawn
}
