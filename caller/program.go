package caller

import (
	"encoding/json"
	"net/http"
	"strings"

	"chestnutcleat.example/chestnutcleat"
)

// serveProgram returns the state of a program (GET) or ends it (DELETE).
func (h *Handler) serveProgram(w http.ResponseWriter, r *http.Request, who identity) *chestnutcleat.Problem {
	if r.Method != http.MethodGet && r.Method != http.MethodDelete {
		return methodNotAllowed(w, "GET, DELETE")
	}
	if who.anonymous {
		return notRunProblem(chestnutcleat.CodeKeyMissing, "programs need a key")
	}
	id := strings.TrimPrefix(r.URL.Path, PathPrograms)
	if !idPattern.MatchString(id) {
		return notRunProblem(chestnutcleat.CodeProgramUnknown, "the path names no program")
	}
	q := chestnutcleat.EndRequest{Customer: who.customer, Program: chestnutcleat.ProgramID(id)}
	w.Header().Set(headerVM, string(h.Owners.Place(chestnutcleat.ProgramKey(q.Customer, q.Program)).CallerAddress))
	if r.Method == http.MethodDelete {
		if err := h.Owners.End(r.Context(), q); err != nil {
			return ownerProblem(err, "program")
		}
		w.WriteHeader(http.StatusNoContent)
		return nil
	}
	s, err := h.Owners.Summary(r.Context(), q)
	if err != nil {
		return ownerProblem(err, "program")
	}
	w.Header().Set("Content-Type", typeJSON)
	w.Header().Set("Cache-Control", "no-store")
	// A failed write means that the caller disconnected.
	_ = json.NewEncoder(w).Encode(s)
	return nil
}
