package caller

import (
	"net/http"
	"strings"

	"chestnutcleat.example/chestnutcleat"
)

// identity identifies the sender of a request. The key itself must not leave this package.
type identity struct {
	customer  chestnutcleat.CustomerID
	digest    chestnutcleat.Digest
	key       string
	anonymous bool
}

const (
	minKeyLength = 8
	maxKeyLength = 512
)

// identify looks up the key in the Authorization header; a request without this header is anonymous.
func (h *Handler) identify(r *http.Request) (identity, *chestnutcleat.Problem) {
	value := r.Header.Get("Authorization")
	if value == "" {
		return identity{anonymous: true}, nil
	}
	scheme, key, ok := strings.Cut(value, " ")
	if !ok || !strings.EqualFold(scheme, "Bearer") || !isBearerToken(key) || len(key) < minKeyLength || len(key) > maxKeyLength {
		return identity{}, notRunProblem(chestnutcleat.CodeKeyUnknown, "the Authorization header has no bearer key")
	}
	who := identity{key: key, digest: chestnutcleat.DigestOf([]byte(key))}
	customer, state := h.Directory.Key(who.digest)
	who.customer = customer
	switch state {
	case chestnutcleat.KeyActive:
		return who, nil
	case chestnutcleat.KeyWithdrawn:
		return identity{}, notRunProblem(chestnutcleat.CodeKeyWithdrawn, "the key was withdrawn")
	}
	return identity{}, notRunProblem(chestnutcleat.CodeKeyUnknown, "the key is unknown")
}

// isBearerToken reports whether s is not empty and has only characters that bearer tokens may have.
func isBearerToken(s string) bool {
	for i := range len(s) {
		if !isTokenByte(s[i]) {
			return false
		}
	}
	return s != ""
}

func isTokenByte(b byte) bool {
	return b >= 'a' && b <= 'z' || b >= 'A' && b <= 'Z' || b >= '0' && b <= '9' || strings.IndexByte("-._~+/=", b) >= 0
}
