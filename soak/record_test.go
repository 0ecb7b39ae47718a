package soak

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/standin/instance"
	"chestnutcleat.example/chestnutcleat/standin/program"
)

// sent is an attempt of customer alma at a time in the middle of a run.
func sent(path string, status int) *attempt {
	return &attempt{
		Request: program.Request{ID: "r", Path: path}, Result: program.Result{Status: status, Whole: status == 200},
		customer: "alma", input: "in", begun: 20 * time.Second, end: 21 * time.Second,
	}
}

// A soak that misses a broken promise proves nothing: each one must be found, and what is allowed must not be.
func TestCheck(t *testing.T) {
	run := instance.Run{Instance: "tool-1", Customer: "alma", Body: "in"}
	other := run
	other.Customer = "bruno"
	changed := run
	changed.Body = "in and more"
	kill := []Fault{{At: chestnutcleat.Duration(19 * time.Second), Kind: Kill, On: "entry-1"}}
	stop := []Fault{{At: chestnutcleat.Duration(19 * time.Second), Kind: Stop, On: "entry-1"}}
	for _, tt := range []struct {
		name   string
		a      *attempt
		runs   []instance.Run
		faults []Fault
		want   string
	}{
		{"served", sent(instance.PathBook, 200), []instance.Run{run}, nil, ""},
		{"refused and not run", sent(instance.PathBook, 503), nil, nil, ""},
		{"refused and run", sent(instance.PathBook, 503), []instance.Run{run}, nil, "says that it has not run"},
		{"budget spent and run", sent(instance.PathKept, 402), []instance.Run{run}, nil, "says that it has not run"},
		{"over its rate and run", sent(instance.PathCheck, 429), []instance.Run{run}, nil, "says that it has not run"},
		{"booked twice", sent(instance.PathBook, 200), []instance.Run{run, run}, nil, "ran 2 times"},
		{"kept turn run twice", sent(instance.PathKept, 502), []instance.Run{run, run}, nil, "ran 2 times"},
		{"checked twice", sent(instance.PathCheck, 200), []instance.Run{run, run}, nil, ""},
		{"other customer", sent(instance.PathCheck, 200), []instance.Run{other}, nil, `for customer "bruno"`},
		{"other input", sent(instance.PathCheck, 200), []instance.Run{changed}, nil, "got 11 bytes"},
		{"cut at rest", sent(instance.PathCheck, 0), []instance.Run{run}, nil, "cut without an answer"},
		{"cut at a planned stop", sent(instance.PathCheck, 0), []instance.Run{run}, stop, "cut without an answer"},
		{"cut after a kill", sent(instance.PathCheck, 0), []instance.Run{run}, kill, ""},
	} {
		t.Run(tt.name, func(t *testing.T) {
			p := &Plan{Length: chestnutcleat.Duration(40 * time.Second), Faults: tt.faults}
			r := &record{}
			r.add(tt.a)
			late := sent(instance.PathCheck, 200)
			late.ID, late.begun = "late", 39*time.Second
			r.add(late)
			log := &instance.Log{}
			for _, v := range tt.runs {
				log.Add(tt.a.ID, v)
			}
			broken := fmt.Sprint(r.check(log, p))
			if tt.want == "" && broken != "[]" || !strings.Contains(broken, tt.want) {
				t.Errorf("found %s, expected %q", broken, tt.want)
			}
		})
	}
}

// A fleet that is not back after the faults must be found, also when nobody sends anything.
func TestCheckReturn(t *testing.T) {
	is := is.New(t)
	p := &Plan{Length: chestnutcleat.Duration(40 * time.Second)}
	for served, want := range map[int]int{0: 1, 90: 1, 96: 0, 100: 0} {
		r := &record{}
		for i := range 100 {
			a := sent(instance.PathCheck, 503)
			if i < served {
				a = sent(instance.PathCheck, 200)
			}
			a.begun = 38 * time.Second
			r.attempts = append(r.attempts, a)
		}
		r.checkReturn(p)
		is.Equal(len(r.broken), want)
	}
	r := &record{}
	r.checkReturn(p)
	is.Equal(len(r.broken), 1)
}

// A plan must be the same for the same seed, or a failure can't be played again, and lose no more storage VMs at a time than the
// fleet bears.
func TestPlan(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(50) {
		p, err := NewPlan(seed, 2*time.Minute)
		is.NoErr(err)
		again, err := NewPlan(seed, 2*time.Minute)
		is.NoErr(err)
		is.Equal(p, again)
		free := time.Duration(0)
		for _, f := range p.Faults {
			at := time.Duration(f.At)
			is.True(at >= calm && at+time.Duration(f.For) <= time.Duration(p.Length)-calm)
			if strings.HasPrefix(f.On, "store-") || f.Kind == KillAll {
				is.True(at >= free)
				free = at + time.Duration(f.For) + catchUp/2
			}
		}
	}
	_, err := NewPlan(1, time.Minute, "earthquake")
	is.True(err != nil)
}
