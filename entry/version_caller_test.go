package entry

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"chestnutcleat.example/chestnutcleat/standin/instance"
)

// reply is what a caller got of a stream.
type reply struct {
	status int
	code   string
	retry  string
	// versions are those of the events, without repetition; ids are the ids of the events.
	versions []string
	ids      []int
	complete bool
}

// last returns the id of the last event.
func (r reply) last() int {
	if len(r.ids) == 0 {
		return 0
	}
	return r.ids[len(r.ids)-1]
}

// stream sends a request for a stream to a VM. Its headers are given as pairs of name and value; a value
// may be several, separated by bars.
func (h *versionHarness) stream(vm int, path, id string, pairs ...string) reply {
	ctx, cancel := context.WithTimeout(h.t.Context(), 10*time.Second)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://h"+path, strings.NewReader(instance.StreamName(path, id)))
	h.is.NoErr(err)
	q.Header.Set("Authorization", "Bearer key")
	q.Header.Set("Chestnutcleat-Request-Id", id)
	for i := 0; i < len(pairs); i += 2 {
		if pairs[i+1] != "" {
			q.Header[pairs[i]] = strings.Split(pairs[i+1], "|")
		}
	}
	resp, err := h.vms[vm].client.Do(q)
	h.is.NoErr(err)
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	r := reply{status: resp.StatusCode, complete: err == nil && resp.StatusCode == 200, retry: resp.Header.Get("Retry-After")}
	if resp.StatusCode != 200 {
		_, code, _ := strings.Cut(string(data), `"code":"`)
		r.code, _, _ = strings.Cut(code, `"`)
		return r
	}
	for line := range strings.SplitSeq(string(data), "\n") {
		if text, ok := strings.CutPrefix(line, "id: "); ok {
			n, err := strconv.Atoi(text)
			h.is.NoErr(err)
			r.ids = append(r.ids, n)
		}
		if text, ok := strings.CutPrefix(line, "data: "); ok {
			r.versions = append(r.versions, instance.EventVersion(text))
		}
	}
	r.versions = slices.Compact(r.versions)
	return r
}

// takeUp takes a stream up again after an event.
func (h *versionHarness) takeUp(vm int, id, resumes string, last int, pairs ...string) reply {
	return h.stream(vm, once, id, append([]string{"Last-Event-Id", strconv.Itoa(last), "Resumes", resumes}, pairs...)...)
}

// Paths of streams that can be resumed; those of once have only one attempt for each request.
const (
	moves = instance.PathResumable + "x"
	once  = instance.PathResumable + "once/x"
)

// streamID returns the id of the first attempt of the nth stream of at least five events.
func streamID(n int) string {
	for i := 0; ; i++ {
		name := fmt.Sprint("s", i)
		if instance.EventCount(name) < 5 {
			continue
		}
		if n--; n < 0 {
			return name + "-0"
		}
	}
}

// attemptID returns the id of another attempt at a stream.
func attemptID(id string, n int) string { return strings.TrimSuffix(id, "0") + strconv.Itoa(n) }

var twoVersions = [][2]string{{"a1", "v1"}, {"b1", "v2"}, {"a2", "v1"}, {"b2", "v2"}}

// begin begins a stream that breaks off after two events, and returns its version.
func (h *versionHarness) begin(vm int, id string) string {
	h.t.Helper()
	h.setFaults(instance.Faults{BreakAfter: 2})
	r := h.stream(vm, once, id)
	h.setFaults(instance.Faults{})
	h.is.Equal(r.status, 200)
	h.is.Equal(len(r.versions), 1)
	h.is.Equal(r.last(), 2)
	return r.versions[0]
}
