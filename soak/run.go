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
	// callerCount is the number of programs that run at a time.
	callerCount = 16
	// withdrawnCount callers use a key that is withdrawn at times, and limitedCount callers belong to a customer with a low rate.
	withdrawnCount, limitedCount = 2, 3
)

// maxResultLines bounds the printed lines of a result, which all are in resultFile.
const maxResultLines = 80

// Soak is one run of a plan.
type Soak struct {
	// Binary is the chestnutcleat executable that all VMs run.
	Binary string
	Plan   Plan
	// Dir holds the VMs' settings and logs; it is removed after a run without violations.
	Dir string
	// Disks is the folder in which the disks are made; empty means Dir. In a file system in memory, the storage VMs do not all stall with
	// the machine's one disk, which would be more than the fleet tolerates.
	Disks string
	// Keep keeps Dir in any case.
	Keep bool
	// Out receives the faults, the violations and a summary.
	Out io.Writer
}

// ErrGuaranteeViolated reports that a run had violations.
var ErrGuaranteeViolated = errors.New("guarantees were violated")

// Run runs the plan and returns an error that wraps ErrGuaranteeViolated if there were violations.
func (s *Soak) Run(ctx context.Context) error {
	disks, err := s.makeDiskFolder()
	if err != nil {
		return err
	}
	defer os.RemoveAll(disks)
	f, err := newFleet(s.Binary, s.Dir, disks, &s.Plan)
	if err != nil {
		return err
	}
	r := &recorder{start: time.Now()}
	w := &watchdog{start: r.start, dir: disks}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(s.Plan.Length))
	defer cancel()
	var wg sync.WaitGroup
	wg.Go(func() { w.run(ctx, f.processes) })
	s.startCallers(ctx, &wg, f, r)
	wg.Go(func() { f.probeRoutes(ctx, r, &s.Plan) })
	for _, fault := range s.Plan.Faults {
		if chestnutcleat.Sleep(ctx, time.Duration(fault.At)-time.Since(r.start)) != nil {
			break
		}
		fmt.Fprintf(s.Out, "%.3f s: %s %s for %v\n", time.Since(r.start).Seconds(), fault.Kind, fault.Target, time.Duration(fault.Duration))
		wg.Go(func() { f.inject(ctx, fault) })
	}
	wg.Wait()
	for _, outlier := range f.outliers(context.WithoutCancel(ctx)) {
		r.addRunViolation(time.Since(r.start), "after the faults: %s", outlier)
	}
	for _, excess := range f.overMemory(context.WithoutCancel(ctx)) {
		r.addRunViolation(time.Since(r.start), "%s", excess)
	}
	processErrs := f.stop()
	r.checkDeparted(f.log, &s.Plan, f.histories())
	r.check(f.log, &s.Plan)
	r.checkProcesses(f.processes, &s.Plan)
	return s.report(r, w, processErrs)
}

func (s *Soak) startCallers(ctx context.Context, wg *sync.WaitGroup, f *fleet, r *recorder) {
	var customers []string
	for i := range callerCount {
		customers = append(customers, instance.SampleCustomers[i%len(instance.SampleCustomers)])
	}
	customers = append(customers, slices.Repeat([]string{instance.SampleWithdrawn}, withdrawnCount)...)
	customers = append(customers, slices.Repeat([]string{instance.SampleLimited}, limitedCount)...)
	dialer := &net.Dialer{Timeout: time.Second}
	for i, customer := range customers {
		c := &caller{
			recorder: r, name: fmt.Sprintf("%d-%d", s.Plan.Seed, i), customer: customer,
			random: rand.New(rand.NewPCG(s.Plan.Seed, uint64(i))),
			client: &program.Client{
				Host: instance.SampleHost, Key: "key-" + customer, Domain: domain(i), Region: "region", Registries: f.registries,
				HTTP: &http.Client{Transport: &http.Transport{DialContext: dialer.DialContext}},
			},
		}
		wg.Go(func() {
			c.run(ctx)
			c.client.HTTP.CloseIdleConnections()
		})
	}
}

// report prints the violations, the errors of processes, the delays of the machine and a summary.
func (s *Soak) report(r *recorder, w *watchdog, processErrs []error) error {
	failed := len(r.violations) > 0 || len(processErrs) > 0
	lines := s.resultLines(r, w, processErrs)
	for _, line := range shorten(lines) {
		fmt.Fprintln(s.Out, line)
	}
	if !failed && !s.Keep {
		return os.RemoveAll(s.Dir)
	}
	fmt.Fprintf(s.Out, "plan, all lines of the result, attempts and logs are kept in %s\n", s.Dir)
	errs := append(processErrs, s.keep(lines, r, w.dir))
	if failed {
		errs = append(errs, ErrGuaranteeViolated)
	}
	return errors.Join(errs...)
}

// resultLines returns the result of a run, the summary at its end.
func (s *Soak) resultLines(r *recorder, w *watchdog, processErrs []error) []string {
	var lines []string
	for _, v := range r.violations {
		lines = append(lines, fmt.Sprint("BROKEN ", v))
	}
	for _, err := range processErrs {
		lines = append(lines, fmt.Sprint("FAILED ", err))
	}
	lines = append(lines, w.lines()...)
	statuses := map[int]int{}
	for _, a := range r.attempts {
		statuses[a.Status]++
	}
	return append(lines, fmt.Sprintf("seed %d: %d faults, %d attempts, by status %v, %d broken promises",
		s.Plan.Seed, len(s.Plan.Faults), len(r.attempts), statuses, len(r.violations)))
}

// shorten returns the lines without those in the middle if there are more than maxResultLines.
func shorten(lines []string) []string {
	if len(lines) <= maxResultLines {
		return lines
	}
	left := fmt.Sprintf("... %d more lines in %s ...", len(lines)-maxResultLines, resultFile)
	return slices.Concat(lines[:maxResultLines/2], []string{left}, lines[len(lines)-maxResultLines/2:])
}
