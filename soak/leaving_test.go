package soak

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/standin/instance"
)

// A request that a VM sends to an instance long after the VM had passed on that the instance leaves is a violation. One to a new start,
// of another VM, within the allowed delay or after a restart or pause of the VM is not.
func TestCheckDeparted(t *testing.T) {
	const (
		told  = 20 * time.Second
		vm    = "127.0.0.1:1"
		start = 77
	)
	leaving := instance.Run{Instance: "tool-1", StartedAt: start, Leaving: true}
	still := instance.Run{Instance: "tool-1", StartedAt: start}
	pause := []Fault{{At: chestnutcleat.Duration(told + time.Second), Kind: Pause, Target: "entry-1", Duration: chestnutcleat.Duration(time.Second)}}
	otherPause := []Fault{{At: chestnutcleat.Duration(told + time.Second), Kind: Pause, Target: "entry-2", Duration: chestnutcleat.Duration(time.Second)}}
	for _, tt := range []struct {
		name      string
		first     []instance.Run
		complete  bool
		run       instance.Run
		address   string
		after     time.Duration
		restarted time.Duration
		faults    []Fault
		want      string
	}{
		{"sent later", []instance.Run{leaving}, true, still, vm, 2100 * time.Millisecond, 0, nil, "entry-1 sent it to tool-1"},
		{"within the allowed delay", []instance.Run{leaving}, true, still, vm, 1900 * time.Millisecond, 0, nil, ""},
		{"instance did not say so", []instance.Run{still}, true, still, vm, 3 * time.Second, 0, nil, ""},
		{"answer was not passed on", []instance.Run{leaving}, false, still, vm, 3 * time.Second, 0, nil, ""},
		{"passed on may be another answer", []instance.Run{leaving, {Instance: "tool-2"}}, true, still, vm, 3 * time.Second, 0, nil, ""},
		{"other VM", []instance.Run{leaving}, true, still, "127.0.0.2:1", 3 * time.Second, 0, nil, ""},
		{"other instance", []instance.Run{leaving}, true, instance.Run{Instance: "tool-2", StartedAt: start}, vm, 3 * time.Second, 0, nil, ""},
		{"new start", []instance.Run{leaving}, true, instance.Run{Instance: "tool-1", StartedAt: start + 1}, vm, 3 * time.Second, 0, nil, ""},
		{"VM restarted", []instance.Run{leaving}, true, still, vm, 3 * time.Second, time.Second, nil, ""},
		{"VM restarted before", []instance.Run{leaving}, true, still, vm, 3 * time.Second, -time.Second, nil, "entry-1 sent it to tool-1"},
		{"VM paused", []instance.Run{leaving}, true, still, vm, 3 * time.Second, 0, pause, ""},
		{"other VM paused", []instance.Run{leaving}, true, still, vm, 3 * time.Second, 0, otherPause, "entry-1 sent it to tool-1"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			r := &recorder{start: time.Now()}
			log := &instance.Log{}
			add := func(id, address string, start, end time.Duration, complete bool, runs ...instance.Run) {
				a := newAttempt(instance.PathIdempotent, 200)
				a.ID, a.Address, a.start, a.end, a.Complete = id, address, start, end, complete
				r.addAttempt(a)
				for _, run := range runs {
					log.Add(id, run)
				}
			}
			add("teller", vm, told-time.Second, told, tt.complete, tt.first...)
			add("later", tt.address, told+tt.after, told+tt.after+10*time.Millisecond, true, tt.run)
			h := vmHistory{vm: "entry-1"}
			if tt.restarted != 0 {
				h.starts = []time.Time{r.start.Add(told + tt.restarted)}
			}
			r.checkDeparted(log, &Plan{Faults: tt.faults}, map[string]vmHistory{vm: h})
			violations := fmt.Sprint(r.violations)
			if tt.want == "" && violations != "[]" || !strings.Contains(violations, tt.want) {
				t.Errorf("found %s, expected %q", violations, tt.want)
			}
		})
	}
}
