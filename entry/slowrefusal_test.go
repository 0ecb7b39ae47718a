package entry

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"chestnutcleat.example/chestnutcleat"
)

// slowRefusals is a codec on a VM that stands still while it writes a refusal.
type slowRefusals struct{ chestnutcleat.Codec }

// WriteProblem implements chestnutcleat.Codec.
func (s slowRefusals) WriteProblem(w http.ResponseWriter, p *chestnutcleat.Problem) {
	time.Sleep(2 * refusedBodyTimeout)
	s.Codec.WriteProblem(w, p)
}

// A request on a kept connection must be answered after a refusal that took long: it was sent to an instance and its connection closed,
// as the deadline for the rest of the refused body had ended the connection's context.
func TestConnectionOutlivesSlowRefusal(t *testing.T) {
	tool := []chestnutcleat.Instance{{ID: "tool-0", Service: "tool", Address: "tool-0", Slots: 6}}
	tests := []struct {
		name, body, key string
		instances       []chestnutcleat.Instance
		status          int
	}{
		{"after the body", "b", "key", nil, http.StatusServiceUnavailable},
		{"before the body", "b", "unknown", tool, http.StatusUnauthorized},
		{"without a body", "", "unknown", tool, http.StatusUnauthorized},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			runInBubble(t, respondOK, func(is *is.I, h *harness) {
				h.handler.Codec = slowRefusals{h.handler.Codec}
				h.handler.Instances.SetInstances(tt.instances)
				resp, _, err := h.do(h.t.Context(), "/book/", tt.body, "Authorization", "Bearer "+tt.key)
				is.NoErr(err)
				is.Equal(resp.StatusCode, tt.status)
				is.True(!resp.Close)
				h.handler.Instances.SetInstances(tool)
				resp, _, err = h.do(h.t.Context(), "/book/", "b", "Chestnutcleat-Request-Id", "r2")
				is.NoErr(err)
				is.Equal(resp.StatusCode, http.StatusOK)
			})
		})
	}
}
