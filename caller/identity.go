package caller

import (
	"net/http"
	"strings"

	"chestnutcleat.example/chestnutcleat"
)

// identity is who sent a request; the key itself stays in this package.
type identity struct {
	customer  chestnutcleat.CustomerID
	digest    chestnutcleat.Digest
	key       string
	anonymous bool
}

const (
	minKey = 8
	maxKey = 512
)

// identify looks up the key of the Authorization header.
func (h *Handler) identify(r *http.Request) (identity, *chestnutcleat.Problem) {
	value := r.Header.Get("Authorization")
	if value == "" {
		return identity{anonymous: true}, nil
	}
	scheme, key, ok := strings.Cut(value, " ")
	if !ok || !strings.EqualFold(scheme, "Bearer") || !token(key) || len(key) < minKey || len(key) > maxKey {
		return identity{}, refusal(chestnutcleat.CodeKeyUnknown, "the Authorization header has no bearer key")
	}
	who := identity{key: key, digest: chestnutcleat.DigestOf([]byte(key))}
	customer, state := h.Directory.Key(who.digest)
	who.customer = customer
	switch state {
	case chestnutcleat.KeyActive:
		return who, nil
	case chestnutcleat.KeyWithdrawn:
		return identity{}, refusal(chestnutcleat.CodeKeyWithdrawn, "the key was withdrawn")
	}
	return identity{}, refusal(chestnutcleat.CodeKeyUnknown, "the key is unknown")
}

// token reports whether s consists of the characters of a bearer token.
func token(s string) bool {
	for i := range len(s) {
		if !tokenByte(s[i]) {
			return false
		}
	}
	return s != ""
}

func tokenByte(b byte) bool {
	return b >= 'a' && b <= 'z' || b >= 'A' && b <= 'Z' || b >= '0' && b <= '9' || strings.IndexByte("-._~+/=", b) >= 0
}
