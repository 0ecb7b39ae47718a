package caller_test

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"chestnutcleat.example/chestnutcleat"
	standinengine "chestnutcleat.example/chestnutcleat/standin/engine"
)

// A stream that broke off must go on only at an engine of the software version that began it. Any engine of the route continued it, and the
// caller got the text of two versions.
func TestStreamKeepsItsVersion(t *testing.T) {
	want := streamedText(t, startSystem(t).chat(t, chatBody("m", "#tokens=20", true)).body)
	cut := standinengine.Faults{CutAfterTokens: 5}
	once := cut
	once.Requests = 1
	for name, c := range map[string]struct {
		versions [2]chestnutcleat.SoftwareVersion
		faults   standinengine.Faults
		// atOther is the number of requests at the engine that did not begin the stream.
		atOther  int
		complete bool
	}{
		"same version":                   {[2]chestnutcleat.SoftwareVersion{"v1", "v1"}, cut, 1, true},
		"no versions":                    {[2]chestnutcleat.SoftwareVersion{}, cut, 1, true},
		"other version":                  {[2]chestnutcleat.SoftwareVersion{"v1", "v2"}, cut, 0, false},
		"one without":                    {[2]chestnutcleat.SoftwareVersion{"v1", ""}, cut, 0, false},
		"other version, engine is back":  {[2]chestnutcleat.SoftwareVersion{"v1", "v2"}, once, 0, true},
		"other version, no text was cut": {[2]chestnutcleat.SoftwareVersion{"v1", "v2"}, standinengine.Faults{CutAfterHeaders: true}, 1, true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := startSystem(t)
			for i, v := range c.versions {
				s.upstreams[i].Version = v
			}
			s.engines[0].SetFaults(c.faults)
			a := s.chat(t, chatBody("m", "#tokens=20", true))
			is.NoErr(a.err)
			is.Equal(len(s.engines[1].Received()), c.atOther)
			is.Equal(strings.Contains(a.body, "[DONE]"), c.complete)
			is.Equal(strings.Contains(a.body, "event: error"), !c.complete)
			if c.complete {
				is.Equal(streamedText(t, a.body), want)
			}
		})
	}
}
