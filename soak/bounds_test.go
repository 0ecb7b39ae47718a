package soak

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/standin/instance"
)

// Requests that come after an operator's change is in effect must be found, and those within its bound, or while a VM could not
// know of it, must not be.
func TestBounds(t *testing.T) {
	const at, end = 20 * time.Second, 26 * time.Second
	change := func(k Kind) Fault {
		return Fault{At: chestnutcleat.Duration(at), Kind: k, On: "tool-1", For: chestnutcleat.Duration(end - at)}
	}
	outage := Fault{At: chestnutcleat.Duration(at - time.Second), Kind: PlatformDown, For: chestnutcleat.Duration(4 * time.Second)}
	for _, tt := range []struct {
		name   string
		faults []Fault
		// customer sends a request of 10 ms that reaches tool-1.
		customer string
		begun    time.Duration
		want     string
	}{
		{"no change", nil, instance.SampleWithdrawn, at + 3*time.Second, ""},
		{"key withdrawn", []Fault{change(Withdraw)}, instance.SampleWithdrawn, at + 3*time.Second, "key had been withdrawn"},
		{"key withdrawn just now", []Fault{change(Withdraw)}, instance.SampleWithdrawn, at + time.Second, ""},
		{"key given back", []Fault{change(Withdraw)}, instance.SampleWithdrawn, end + time.Second, ""},
		{"key of another customer", []Fault{change(Withdraw)}, "alma", at + 3*time.Second, ""},
		{"key withdrawn in an outage", []Fault{outage, change(Withdraw)}, instance.SampleWithdrawn, at + 3*time.Second, ""},
		{"key withdrawn in an outage that is over", []Fault{outage, change(Withdraw)}, instance.SampleWithdrawn, at + 5500*time.Millisecond, "key had been withdrawn"},
		{"instance left", []Fault{change(Leave)}, "alma", at + 3*time.Second, "though it leaves"},
		{"instance left just now", []Fault{change(Leave)}, "alma", at + time.Second, ""},
		{"instance is back", []Fault{change(Leave)}, "alma", end + time.Second, ""},
		{"instance left in an outage", []Fault{outage, change(Leave)}, "alma", at + 3*time.Second, ""},
	} {
		t.Run(tt.name, func(t *testing.T) {
			p := &Plan{Length: chestnutcleat.Duration(40 * time.Second), Faults: tt.faults}
			r := &record{begun: time.Now()}
			a := sent(instance.PathCheck, 200)
			a.customer, a.begun, a.end = tt.customer, tt.begun, tt.begun+10*time.Millisecond
			r.add(a)
			log := &instance.Log{}
			log.Add(a.ID, instance.Run{Instance: "tool-1", Customer: tt.customer, Body: "in", At: r.begun.Add(tt.begun)})
			r.checkWithdrawn(log, p)
			r.checkLeft(log, p)
			broken := fmt.Sprint(r.broken)
			if tt.want == "" && broken != "[]" || !strings.Contains(broken, tt.want) {
				t.Errorf("found %s, expected %q", broken, tt.want)
			}
		})
	}
}

// A customer's rate and burst bound each window, wherever it begins.
func TestRateInWindows(t *testing.T) {
	for name, tt := range map[string]struct {
		// pause is that between two of 400 requests.
		pause time.Duration
		want  string
	}{
		"at its rate":   {time.Second / instance.LimitedRate, ""},
		"twice as fast": {time.Second / (2 * instance.LimitedRate), "requests of emil ran within"},
	} {
		t.Run(name, func(t *testing.T) {
			r := &record{begun: time.Now()}
			log := &instance.Log{}
			for i := range 400 {
				log.Add(fmt.Sprint(i), instance.Run{Customer: instance.SampleLimited, At: r.begun.Add(time.Duration(i) * tt.pause)})
			}
			r.checkRate(log)
			broken := fmt.Sprint(r.broken)
			if tt.want == "" && broken != "[]" || !strings.Contains(broken, tt.want) {
				t.Errorf("found %s, expected %q", broken, tt.want)
			}
		})
	}
}
