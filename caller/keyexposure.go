package caller

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/url"
	"strings"

	"chestnutcleat.example/chestnutcleat"
)

// keyParameters are query parameters in which other APIs expect keys.
var keyParameters = []string{"access_token", "api-key", "api_key", "apikey", "authorization"}

// exposesKey reports whether a request has a key in its path, its query or a header other than Authorization.
func (h *Handler) exposesKey(r *http.Request) bool {
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
		if h.containsKey([]byte(t), key) {
			return true
		}
	}
	for _, part := range strings.Split(r.URL.Path, "/") {
		if h.isManifestKey([]byte(part)) {
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
			if h.isManifestKey([]byte(v)) {
				return true
			}
		}
	}
	return false
}

// bodyExposesKey reports whether a body contains a key, literally or with JSON or percent escapes.
func (h *Handler) bodyExposesKey(body []byte, key string) bool {
	if h.containsKey(body, key) {
		return true
	}
	if bytes.Contains(body, []byte(`\u`)) || bytes.Contains(body, []byte(`\/`)) {
		var v any
		if json.Unmarshal(body, &v) == nil && h.valueExposesKey(v, key) {
			return true
		}
	}
	if bytes.IndexByte(body, '%') >= 0 {
		if s, err := url.QueryUnescape(string(body)); err == nil {
			return h.containsKey([]byte(s), key)
		}
	}
	return false
}

func (h *Handler) valueExposesKey(v any, key string) bool {
	switch v := v.(type) {
	case string:
		return h.containsKey([]byte(v), key)
	case []any:
		for _, e := range v {
			if h.valueExposesKey(e, key) {
				return true
			}
		}
	case map[string]any:
		for k, e := range v {
			if h.containsKey([]byte(k), key) || h.valueExposesKey(e, key) {
				return true
			}
		}
	}
	return false
}

// containsKey reports whether text contains key or, as a separate word, a key of the manifest.
func (h *Handler) containsKey(text []byte, key string) bool {
	if len(key) >= minKeyLength && bytes.Contains(text, []byte(key)) {
		return true
	}
	start := 0
	for i := 0; i <= len(text); i++ {
		if i < len(text) && isTokenByte(text[i]) {
			continue
		}
		if h.isManifestKey(text[start:i]) {
			return true
		}
		if i+1 < len(text) && text[i] == '\\' {
			// The character after a backslash belongs to the escape sequence, not to the next word.
			i++
		}
		start = i + 1
	}
	return false
}

// isManifestKey reports whether word is an active or withdrawn key of the manifest.
func (h *Handler) isManifestKey(word []byte) bool {
	if len(word) < minKeyLength || len(word) > maxKeyLength {
		return false
	}
	_, state := h.Directory.Key(chestnutcleat.DigestOf(word))
	return state == chestnutcleat.KeyActive || state == chestnutcleat.KeyWithdrawn
}
