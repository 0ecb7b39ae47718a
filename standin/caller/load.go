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
	idlePerHost     = 256
)

// Load runs programs with open-loop arrivals; the same seed gives the same programs.
type Load struct {
	// Seeds are addresses of VMs, which give the addresses of the others.
	Seeds     []chestnutcleat.Address
	Customers []Customer
	Shape     Shape
	Seed      uint64
	// Duration is how long programs arrive; zero means until each customer's Programs have started.
	Duration time.Duration
	// Attempts is the largest number of attempts of one call.
	Attempts int
	// Dial connects to VMs; nil means TCP.
	Dial upstream.Dial
}

// Run starts programs as they arrive and waits for their end.
func (l *Load) Run(ctx context.Context) (Report, error) {
	if len(l.Seeds) == 0 {
		return Report{}, errors.New("no address of a VM is given")
	}
	for _, c := range l.Customers {
		if c.Rate <= 0 || l.Duration == 0 && c.Programs == 0 {
			return Report{}, fmt.Errorf("customer %q needs a rate, and a number of programs when the duration is open", c.ID)
		}
	}
	t := &http.Transport{DialContext: l.Dial, MaxIdleConnsPerHost: idlePerHost, IdleConnTimeout: 30 * time.Second}
	defer t.CloseIdleConnections()
	client := &http.Client{Transport: t}
	began := time.Now()
	var report Report
	var group sync.WaitGroup
	for i, c := range l.Customers {
		s := newStats(c.ID)
		report.Customers = append(report.Customers, s)
		group.Go(func() { l.arrive(ctx, client, c, uint64(i), s) })
	}
	group.Wait()
	report.Elapsed = time.Since(began)
	return report, ctx.Err()
}

// arrive starts the programs of one customer with exponentially distributed gaps.
func (l *Load) arrive(ctx context.Context, h *http.Client, c Customer, index uint64, s *Stats) {
	attempts := l.Attempts
	if attempts == 0 {
		attempts = defaultAttempts
	}
	k := &client{http: h, key: c.Key, stats: s, attempts: attempts, addresses: newAddresses(h, c.Key, l.Seeds)}
	gaps := rand.New(rand.NewPCG(l.Seed, index))
	began := time.Now()
	var group sync.WaitGroup
	defer group.Wait()
	for n := 0; c.Programs == 0 || n < c.Programs; n++ {
		t := time.NewTimer(time.Duration(gaps.ExpFloat64() / c.Rate * float64(time.Second)))
		select {
		case <-t.C:
		case <-ctx.Done():
			t.Stop()
			return
		}
		if l.Duration > 0 && time.Since(began) > l.Duration {
			return
		}
		p := &program{
			id: chestnutcleat.ProgramID(fmt.Sprintf("%s-%d-%d", c.ID, l.Seed, n)), customer: c, shape: l.Shape, client: k,
			random: rand.New(rand.NewPCG(l.Seed^index<<32, uint64(n))),
		}
		s.begin()
		group.Go(func() {
			start := time.Now()
			err := p.run(ctx)
			s.end(time.Since(start), err)
		})
	}
}
