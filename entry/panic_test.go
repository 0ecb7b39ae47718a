package entry

import (
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"chestnutcleat.example/chestnutcleat"
)

// panickingCodec panics over responses of instances.
type panickingCodec struct{ chestnutcleat.Codec }

func (panickingCodec) DecodeResponse(int, http.Header) chestnutcleat.ResponseInfo {
	panic("odd response")
}

// panickingWriter panics over the body of the response.
type panickingWriter struct{ http.ResponseWriter }

// Write implements http.ResponseWriter.
func (panickingWriter) Write([]byte) (int, error) { panic("odd body") }

// A request whose handler panics after an instance got it must be answered: its connection was closed without an answer, and the
// instance counted as busy with it from then on.
func TestPanicIsAnswered(t *testing.T) {
	for _, path := range []string{"/book/", "/plan/"} {
		t.Run(path, func(t *testing.T) {
			runInBubble(t, respondOK, func(is *is.I, h *harness) {
				h.handler.Codec = panickingCodec{h.handler.Codec}
				var reported []error
				h.handler.OnPanic = func(err error) { reported = append(reported, err) }
				resp, _, err := h.do(h.t.Context(), path, "b")
				is.NoErr(err)
				is.Equal(resp.StatusCode, http.StatusInternalServerError) // does not say that it has not run
				is.Equal(resp.Header.Get("Chestnutcleat-Server-Seal"), "")
				is.True(resp.Close)
				is.Equal(len(reported), 1)
				time.Sleep(time.Second)
				for _, load := range h.handler.Instances.OwnLoad() {
					is.Equal(load, 0)
				}
			})
		})
	}
}

// A panic in the middle of an answer must close the connection: what was sent of the answer must not look complete.
func TestPanicInAnswer(t *testing.T) {
	runInBubble(t, func(_ *receivedRequest, q *http.Request, w io.Writer) bool {
		writeEvents(q, w, 1, 2, true)
		return true
	}, func(is *is.I, h *harness) {
		h.server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			h.handler.ServeHTTP(panickingWriter{w}, r)
		})
		_, _, err := h.do(h.t.Context(), "/plan/", "b")
		is.True(err != nil)
	})
}
