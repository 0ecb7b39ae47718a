package soak

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"slices"
	"sync"
	"time"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/standin/instance"
	"chestnutcleat.example/chestnutcleat/standin/program"
)

const (
	// callerCount is the number of programs that run at one time.
	callerCount = 16
	// withdrawnCount and limitedCount are the callers of the customers whose key is withdrawn at times and whose rate is low.
	withdrawnCount, limitedCount = 2, 3
)

// Soak is one run.
type Soak struct {
	// Program is the binary whose roles are run.
	Program string
	Plan    Plan
	// Folder gets settings, disks and logs; it is removed after a run that breaks nothing.
	Folder string
	// Out gets what happens.
	Out io.Writer
}

// ErrBroken reports that promises were broken.
var ErrBroken = errors.New("promises were broken")

// Run plays the plan and returns ErrBroken if a promise was broken.
func (s *Soak) Run(ctx context.Context) error {
	f, err := newFleet(s.Program, s.Folder)
	if err != nil {
		return err
	}
	r := &record{begun: time.Now()}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(s.Plan.Length))
	defer cancel()
	var running sync.WaitGroup
	s.startCallers(ctx, &running, f, r)
	for _, v := range s.Plan.Faults {
		if chestnutcleat.Sleep(ctx, time.Duration(v.At)-time.Since(r.begun)) != nil {
			break
		}
		fmt.Fprintf(s.Out, "%.3f s: %s %s for %v\n", time.Since(r.begun).Seconds(), v.Kind, v.On, time.Duration(v.For))
		running.Go(func() { f.inject(ctx, v) })
	}
	running.Wait()
	for _, d := range f.differences(context.WithoutCancel(ctx)) {
		r.fail(time.Since(r.begun), "after the faults %s", d)
	}
	failed := f.end()
	return s.report(f, r, failed)
}

func (s *Soak) startCallers(ctx context.Context, running *sync.WaitGroup, f *fleet, r *record) {
	var customers []string
	for i := range callerCount {
		customers = append(customers, instance.SampleCustomers[i%len(instance.SampleCustomers)])
	}
	customers = append(customers, slices.Repeat([]string{instance.SampleWithdrawn}, withdrawnCount)...)
	customers = append(customers, slices.Repeat([]string{instance.SampleLimited}, limitedCount)...)
	d := &net.Dialer{Timeout: time.Second}
	for i, customer := range customers {
		c := &caller{
			record: r, name: fmt.Sprintf("%d-%d", s.Plan.Seed, i), customer: customer,
			random: rand.New(rand.NewPCG(s.Plan.Seed, uint64(i))),
			client: &program.Client{
				Host: instance.SampleHost, Key: "key-" + customer, Domain: domain(i), Region: "region", Registries: f.registries,
				HTTP: &http.Client{Transport: &http.Transport{DialContext: d.DialContext}},
			},
		}
		running.Go(func() {
			c.run(ctx)
			c.client.HTTP.CloseIdleConnections()
		})
	}
}

// report prints what was broken and the figures of the run.
func (s *Soak) report(f *fleet, r *record, failed []error) error {
	broken := r.check(f.log, &s.Plan)
	for _, v := range broken {
		fmt.Fprintln(s.Out, "BROKEN", v)
	}
	for _, err := range failed {
		fmt.Fprintln(s.Out, "FAILED", err)
	}
	statuses := map[int]int{}
	for _, a := range r.attempts {
		statuses[a.Status]++
	}
	fmt.Fprintf(s.Out, "seed %d: %d faults, %d attempts, by status %v, %d broken promises\n", s.Plan.Seed, len(s.Plan.Faults), len(r.attempts), statuses, len(broken))
	if len(broken) > 0 || len(failed) > 0 {
		fmt.Fprintf(s.Out, "logs are kept in %s\n", s.Folder)
		return errors.Join(append(failed, ErrBroken)...)
	}
	return os.RemoveAll(s.Folder)
}
