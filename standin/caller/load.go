package caller

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/upstream"
)

const (
	defaultAttempts = 20
	maxIdlePerHost  = 256
)

// Load starts programs in an open loop; the same seed gives the same programs.
type Load struct {
	// VMs are the addresses of the VMs that are asked for the list of all VMs.
	VMs       []chestnutcleat.Address
	Customers []Customer
	Shape     Shape
	Seed      uint64
	// Duration is how long programs are started; zero means until each customer's MaxPrograms have started.
	Duration time.Duration
	// MaxAttempts is the maximum number of attempts of one call; zero means defaultAttempts.
	MaxAttempts int
	// Dial connects to VMs; nil means TCP.
	Dial upstream.Dial
}

// Run starts the programs of all customers and waits until they have ended.
func (l *Load) Run(ctx context.Context) (Report, error) {
	if len(l.VMs) == 0 {
		return Report{}, errors.New("no VM addresses given")
	}
	for _, c := range l.Customers {
		if c.Rate <= 0 || l.Duration == 0 && c.MaxPrograms == 0 {
			return Report{}, fmt.Errorf("customer %q needs a positive rate, and a number of programs if no duration is set", c.ID)
		}
	}
	t := &http.Transport{DialContext: l.Dial, MaxIdleConnsPerHost: maxIdlePerHost, IdleConnTimeout: 30 * time.Second}
	defer t.CloseIdleConnections()
	client := &http.Client{Transport: t}
	start := time.Now()
	var report Report
	var group sync.WaitGroup
	for i, c := range l.Customers {
		s := newStats(c.ID)
		report.Customers = append(report.Customers, s)
		group.Go(func() { l.startPrograms(ctx, client, c, uint64(i), s) })
	}
	group.Wait()
	report.Elapsed = time.Since(start)
	return report, ctx.Err()
}

// startPrograms starts the programs of one customer as a Poisson process and waits until they have ended.
func (l *Load) startPrograms(ctx context.Context, h *http.Client, c Customer, index uint64, s *Stats) {
	attempts := l.MaxAttempts
	if attempts == 0 {
		attempts = defaultAttempts
	}
	cl := &client{http: h, key: c.Key, stats: s, maxAttempts: attempts, addresses: newAddresses(h, c.Key, l.VMs)}
	arrivals := rand.New(rand.NewPCG(l.Seed, index))
	begin := time.Now()
	var group sync.WaitGroup
	defer group.Wait()
	for n := 0; c.MaxPrograms == 0 || n < c.MaxPrograms; n++ {
		t := time.NewTimer(time.Duration(arrivals.ExpFloat64() / c.Rate * float64(time.Second)))
		select {
		case <-t.C:
		case <-ctx.Done():
			t.Stop()
			return
		}
		if l.Duration > 0 && time.Since(begin) > l.Duration {
			return
		}
		p := &program{
			id: chestnutcleat.ProgramID(fmt.Sprintf("%s-%d-%d", c.ID, l.Seed, n)), customer: c, shape: l.Shape, client: cl,
			random: rand.New(rand.NewPCG(l.Seed^index<<32, uint64(n))),
		}
		s.addStarted()
		group.Go(func() {
			start := time.Now()
			err := p.run(ctx)
			s.addEnded(time.Since(start), err)
		})
	}
}
