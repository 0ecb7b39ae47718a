package role

import (
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"chestnutcleat.example/chestnutcleat"
)

// healthyStatus returns the status of VM i in a healthy fleet of n VMs.
func healthyStatus(i, n int) Status {
	s := Status{
		VM: id(i), Configuration: &ConfigStatus{Number: 7, Version: 90}, ReplicaSet: chestnutcleat.ReplicaSet{Version: 3},
		Kinds: []KindStatus{{Kind: "config", Version: 90, Objects: 1}, {Kind: "servers", Version: 80, Objects: 12}},
	}
	for j := range n {
		if j != i {
			s.Peers = append(s.Peers, PeerStatus{VM: id(j)})
		}
	}
	return s
}

// Exactly the VMs that differ must be reported, also among many.
func TestOutliers(t *testing.T) {
	const n = 50
	for _, tt := range []struct {
		name   string
		change func(list []Answer)
		want   []string
	}{
		{"all alike", func([]Answer) {}, nil},
		{"older configuration", func(l []Answer) { l[7].Status.Configuration = &ConfigStatus{Number: 6, Version: 85} }, []string{"v07 configuration: 6 at version 85; of most VMs: 7 at version 90"}},
		{"no configuration", func(l []Answer) { l[7].Status.Configuration = nil }, []string{"v07 configuration: none; of most VMs: 7 at version 90"}},
		{"no answer", func(l []Answer) { l[3].Err = errors.New("refused") }, []string{"v03 does not answer: refused"}},
		{"other replica set", func(l []Answer) { l[9].Status.ReplicaSet.Version = 2 }, []string{"v09 copies: version 2; of most VMs: version 3"}},
		{"misses a VM", func(l []Answer) { l[4].Status.Peers[0].Silent = true }, []string{"v04 silent VMs: [v00]; of most VMs: []"}},
		{"all miss a VM", func(l []Answer) {
			for i := range l[1:] {
				l[i+1].Status.Peers[0].Silent = true
			}
		}, []string{"v00 silent VMs: []; of most VMs: [v00]"}},
		{"fewer instances", func(l []Answer) { l[2].Status.Kinds[1].Objects = 11 }, []string{"v02 objects of kind servers: 11, lapsed 0, platform away false; of most VMs: 12, lapsed 0, platform away false"}},
		// Versions may differ, since changes of other kinds raise them.
		{"version of a list", func(l []Answer) { l[2].Status.Kinds[1].Version = 85 }, nil},
	} {
		t.Run(tt.name, func(t *testing.T) {
			var list []Answer
			for i := range n {
				list = append(list, Answer{VM: id(i), Status: healthyStatus(i, n)})
			}
			tt.change(list)
			var got []string
			for _, o := range Outliers(list) {
				got = append(got, fmt.Sprint(o.VM, " ", o.Difference))
			}
			if strings.Join(got, "|") != strings.Join(tt.want, "|") {
				t.Errorf("found %q, expected %q", got, tt.want)
			}
		})
	}
}

// One address must be enough to query all VMs, and a VM that doesn't answer must not hide the others.
func TestSurvey(t *testing.T) {
	is := is.New(t)
	first := healthyStatus(0, 3)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { writeStatus(w, first) }))
	t.Cleanup(s.Close)
	first.Peers[0].Address, first.Peers[1].Address = "127.0.0.1:1", "broken"
	answers, err := Survey(t.Context(), chestnutcleat.Address(strings.TrimPrefix(s.URL, "http://")))
	is.NoErr(err)
	is.Equal(len(answers), 3)
	is.NoErr(answers[1].Err) // the port is that of the first VM, which answers in place of this one
	is.True(answers[2].Err != nil)
}
