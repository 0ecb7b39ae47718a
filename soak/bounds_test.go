package soak

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/standin/instance"
)

// Requests that run after an operator's change must be in effect are violations. Those within the allowed delay, or while a fault
// keeps the change from a VM, are not.
func TestCheckOperatorChanges(t *testing.T) {
	const at, end = 20 * time.Second, 26 * time.Second
	change := func(k FaultKind) Fault {
		return Fault{At: chestnutcleat.Duration(at), Kind: k, Target: "tool-1", Duration: chestnutcleat.Duration(end - at)}
	}
	outage := Fault{At: chestnutcleat.Duration(at - time.Second), Kind: PlatformDown, Duration: chestnutcleat.Duration(4 * time.Second)}
	for _, tt := range []struct {
		name   string
		faults []Fault
		// customer sends a request that takes 10 ms and runs at tool-1.
		customer string
		start    time.Duration
		want     string
	}{
		{"no change", nil, instance.SampleWithdrawn, at + 3*time.Second, ""},
		{"key withdrawn", []Fault{change(WithdrawKey)}, instance.SampleWithdrawn, at + 3*time.Second, "key had been withdrawn"},
		{"key withdrawn within the allowed delay", []Fault{change(WithdrawKey)}, instance.SampleWithdrawn, at + time.Second, ""},
		{"key restored", []Fault{change(WithdrawKey)}, instance.SampleWithdrawn, end + time.Second, ""},
		{"key of another customer", []Fault{change(WithdrawKey)}, "alma", at + 3*time.Second, ""},
		{"key withdrawn during an outage", []Fault{outage, change(WithdrawKey)}, instance.SampleWithdrawn, at + 3*time.Second, ""},
		{"key withdrawn during an outage that is over", []Fault{outage, change(WithdrawKey)}, instance.SampleWithdrawn, at + 5500*time.Millisecond, "key had been withdrawn"},
		{"instance drained", []Fault{change(DrainInstance)}, "alma", at + 3*time.Second, "although it has been draining"},
		{"instance drained within the allowed delay", []Fault{change(DrainInstance)}, "alma", at + time.Second, ""},
		{"instance ready again", []Fault{change(DrainInstance)}, "alma", end + time.Second, ""},
		{"instance drained during an outage", []Fault{outage, change(DrainInstance)}, "alma", at + 3*time.Second, ""},
	} {
		t.Run(tt.name, func(t *testing.T) {
			p := &Plan{Length: chestnutcleat.Duration(40 * time.Second), Faults: tt.faults}
			r := &recorder{start: time.Now()}
			a := newAttempt(instance.PathIdempotent, 200)
			a.customer, a.start, a.end = tt.customer, tt.start, tt.start+10*time.Millisecond
			r.addAttempt(a)
			log := &instance.Log{}
			log.Add(a.ID, instance.Run{Instance: "tool-1", Customer: tt.customer, Body: "in", At: r.start.Add(tt.start)})
			r.checkWithdrawnKey(log, p)
			r.checkDrained(log, p)
			violations := fmt.Sprint(r.violations)
			if tt.want == "" && violations != "[]" || !strings.Contains(violations, tt.want) {
				t.Errorf("found %s, expected %q", violations, tt.want)
			}
		})
	}
}

// A customer's rate and burst must hold in every window, wherever it begins.
func TestCheckRateLimit(t *testing.T) {
	for name, tt := range map[string]struct {
		// pause is the time between two of 400 requests.
		pause time.Duration
		want  string
	}{
		"at its rate":   {time.Second / instance.LimitedRate, ""},
		"twice as fast": {time.Second / (2 * instance.LimitedRate), "requests of emil ran within"},
	} {
		t.Run(name, func(t *testing.T) {
			r := &recorder{start: time.Now()}
			log := &instance.Log{}
			for i := range 400 {
				log.Add(fmt.Sprint(i), instance.Run{Customer: instance.SampleLimited, At: r.start.Add(time.Duration(i) * tt.pause)})
			}
			r.checkRateLimit(log)
			violations := fmt.Sprint(r.violations)
			if tt.want == "" && violations != "[]" || !strings.Contains(violations, tt.want) {
				t.Errorf("found %s, expected %q", violations, tt.want)
			}
		})
	}
}
