package instance

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Answers without length and chunks must be whole unless they are cut, and a share of them must be cut: a soak with others proves
// nothing.
func TestUnframedAnswers(t *testing.T) {
	for _, tt := range []struct {
		path    string
		cutRate float64
	}{
		{PathIdempotent + "p", 0}, {PathResumable + "p", 0}, {PathIdempotent + "p", 1}, {PathResumable + "p", 1},
	} {
		t.Run(fmt.Sprint(tt.path, tt.cutRate), func(t *testing.T) {
			is := is.New(t)
			s := &Server{ID: "i", Log: &Log{}}
			s.SetFaults(Faults{UnframedRate: 1, CutRate: tt.cutRate})
			l := httptest.NewServer(s)
			defer l.Close()
			want := Answer("r", "body")
			if strings.HasPrefix(tt.path, StreamPrefix) {
				want = strings.Join(eventsAfter("r", &Run{LastEventID: -1}), "")
			}
			for range 20 {
				q, err := http.NewRequestWithContext(t.Context(), http.MethodPost, l.URL+tt.path, strings.NewReader("body"))
				is.NoErr(err)
				q.Header.Set(HeaderID, "r")
				resp, err := http.DefaultClient.Do(q)
				if err != nil && tt.cutRate > 0 {
					continue // reset before the head was read
				}
				is.NoErr(err)
				is.Equal(resp.ContentLength, int64(-1))
				is.Equal(len(resp.TransferEncoding), 0)
				data, err := io.ReadAll(resp.Body)
				resp.Body.Close()
				if tt.cutRate == 0 {
					is.NoErr(err)
					is.Equal(string(data), want)
					continue
				}
				is.True(strings.HasPrefix(want, string(data)) && len(data) < len(want))
				endsInEvent := strings.HasPrefix(tt.path, StreamPrefix) && data != nil && !strings.HasSuffix(string(data), "\n\n")
				is.True(err != nil || endsInEvent)
				is.True(err == nil || !errors.Is(err, io.EOF))
			}
		})
	}
}

// An instance that leaves must say so in all its answers, refusals among them, until its next start.
func TestLeavingAnswers(t *testing.T) {
	s := &Server{ID: "i", Log: &Log{}}
	answer := func(id string) http.Header {
		q := httptest.NewRequest(http.MethodPost, PathIdempotent+"p", strings.NewReader("body"))
		q.Header.Set(HeaderID, id)
		w := httptest.NewRecorder()
		s.ServeHTTP(w, q)
		return w.Result().Header
	}
	is := is.New(t)
	s.SetStart(1)
	is.Equal(answer("r1").Get(headerLeaving), "")
	s.SetLeaving()
	is.Equal(answer("r2").Get(headerLeaving), leavingValue)
	is.Equal(answer("").Get(headerLeaving), leavingValue)
	is.Equal(s.Log.Runs("r2")[0].Leaving, true)
	is.Equal(s.Log.Runs("r2")[0].StartedAt, int64(1))
	s.SetStart(2)
	is.Equal(answer("r3").Get(headerLeaving), "")
	is.Equal(s.Log.Runs("r3")[0].StartedAt, int64(2))
}
