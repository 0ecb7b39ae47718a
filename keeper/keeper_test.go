package keeper

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/ledger"
)

// seeds is the number of series of faults; `go test ./keeper -run Acknowledged -seeds 200` plays more by hand.
var seeds = flag.Uint64("seeds", 12, "series of faults to play")

// fault does one thing to a storage VM; it returns once the fleet bears the next one.
type fault struct {
	name string
	run  func(f *fleet, s *storage)
}

var faults = []fault{
	{"killed", func(f *fleet, s *storage) { f.halt(s); time.Sleep(2 * time.Second); f.start(s) }},
	{"wiped", func(f *fleet, s *storage) { f.halt(s); f.wipe(s); time.Sleep(time.Second); f.start(s) }},
	{"cut", func(f *fleet, s *storage) { f.setCut(s, true); time.Sleep(5 * time.Second); f.setCut(s, false) }},
	{"replaced", func(f *fleet, s *storage) {
		f.halt(s)
		time.Sleep(2 * time.Second)
		f.add()
	}},
	{"replaced and no longer listed", func(f *fleet, s *storage) {
		f.halt(s)
		f.mu.Lock()
		s.gone = true
		f.mu.Unlock()
		time.Sleep(2 * time.Second)
		f.add()
	}},
	{"retired", func(f *fleet, s *storage) {
		f.add()
		time.Sleep(catchUp)
		f.mu.Lock()
		s.retiring = true
		f.mu.Unlock()
		time.Sleep(catchUp)
		f.halt(s)
	}},
	{"all killed", func(f *fleet, _ *storage) {
		for _, s := range f.list {
			if s.running {
				f.halt(s)
				defer f.start(s)
			}
		}
		time.Sleep(time.Second)
	}},
	{"platform away", func(f *fleet, s *storage) {
		f.setAway(true)
		f.halt(s)
		time.Sleep(5 * time.Second)
		f.start(s)
		time.Sleep(2 * time.Second)
		f.setAway(false)
	}},
	{"answers of the platform lost", func(f *fleet, s *storage) {
		f.objects.mu.Lock()
		f.objects.lost = true
		f.objects.mu.Unlock()
		f.halt(s)
		f.wipe(s)
		f.start(s)
		time.Sleep(4 * time.Second)
		f.objects.mu.Lock()
		f.objects.lost = false
		f.objects.mu.Unlock()
	}},
}

func (f *fleet) setAway(away bool) {
	f.objects.mu.Lock()
	defer f.objects.mu.Unlock()
	f.objects.away = away
}

// A turn that counted as kept must be found after any series of losses that the fleet bears, also when the whole set of
// disks has been replaced; a turn that was never written must be told from one that can't be read. Without the joint
// change of the set, a turn acknowledged by the disks that leave is lost.
func TestNothingAcknowledgedIsLost(t *testing.T) {
	for seed := range *seeds {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			play(t, 3, 3, seed, func(_ context.Context, t *testing.T, f *fleet) { series(t, f, seed) })
		})
	}
}

// The same must hold with five copies on eleven storage VMs.
func TestNothingIsLostOfFiveCopies(t *testing.T) {
	for seed := range *seeds / 3 {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			play(t, 11, 5, seed, func(_ context.Context, t *testing.T, f *fleet) { series(t, f, seed) })
		})
	}
}

func series(t *testing.T, f *fleet, seed uint64) {
	r := rand.New(rand.NewPCG(seed, 1))
	var mu sync.Mutex
	var written []string
	refused := 0
	var writer sync.WaitGroup
	stop := make(chan struct{})
	writer.Go(func() {
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-time.After(50 * time.Millisecond):
			}
			id := fmt.Sprintf("t%05d", i)
			err := f.write(id, "")
			mu.Lock()
			if err == nil {
				written = append(written, id)
			} else {
				refused++
			}
			mu.Unlock()
		}
	})
	var log []string
	for range 8 {
		v := faults[r.IntN(len(faults))]
		running := slices.DeleteFunc(slices.Clone(f.list), func(s *storage) bool {
			return !s.running || !slices.Contains(f.members(), s.id)
		})
		s := running[r.IntN(len(running))]
		log = append(log, fmt.Sprintf("%s %s", v.name, s.id))
		v.run(f, s)
		time.Sleep(catchUp)
		if set := f.client.Copies(); len(set.Next) > 0 {
			t.Errorf("set still changes %v after %v", catchUp, log)
		}
	}
	close(stop)
	writer.Wait()
	for _, id := range written {
		if _, err := f.fetch(id); err != nil {
			t.Errorf("turn %s of %d: %v after %v", id, len(written), err, log)
			break
		}
	}
	if _, err := f.fetch("never"); !errors.Is(err, chestnutcleat.ErrNotFound) {
		t.Errorf("unknown turn: %v after %v", err, log)
	}
	if refused > len(written)/10 {
		t.Errorf("%d writes refused, %d done after %v", refused, len(written), log)
	}
}

// After a storage VM is emptied without another to take its place, two copies are left. The loss of one's disk must not stop
// the set from growing back: two copies are both written to, so one of them has all records.
func TestTwoCopies(t *testing.T) {
	for _, v := range []string{"wiped", "killed for long"} {
		t.Run(v, func(t *testing.T) {
			play(t, 3, 3, 1, func(ctx context.Context, t *testing.T, f *fleet) {
				f.mu.Lock()
				f.list[0].retiring = true
				f.mu.Unlock()
				time.Sleep(catchUp)
				f.halt(f.list[0])
				write := func(id string) {
					if err := f.write(id, ""); err != nil {
						t.Errorf("write %s: %v", id, err)
					}
				}
				write("before")
				f.halt(f.list[1])
				if v == "wiped" {
					f.wipe(f.list[1])
				} else {
					time.Sleep(catchUp)
					write("alone")
				}
				f.start(f.list[1])
				time.Sleep(catchUp)
				write("after")
				f.halt(f.list[2])
				f.wipe(f.list[2])
				f.start(f.list[2])
				time.Sleep(catchUp)
				for _, id := range []string{"before", "after"} {
					if _, err := f.fetch(id); err != nil {
						t.Errorf("turn %s: %v", id, err)
					}
				}
				if n := len(f.members()); n != 2 {
					t.Errorf("%d copies", n)
				}
			})
		})
	}
}

// Two storage VMs that are emptied one after the other must not leave one copy alone: on a drawn day its disk was lost then,
// and no turn was served to the end of the day.
func TestRetirementLeavesEnoughCopies(t *testing.T) {
	play(t, 3, 3, 1, func(_ context.Context, t *testing.T, f *fleet) {
		is := is.New(t)
		for _, s := range f.list[:2] {
			f.mu.Lock()
			s.retiring = true
			f.mu.Unlock()
			time.Sleep(catchUp)
		}
		is.NoErr(f.write("before", ""))
		f.halt(f.list[2])
		f.wipe(f.list[2])
		f.start(f.list[2])
		time.Sleep(catchUp)
		is.NoErr(f.write("after", ""))
		_, err := f.fetch("before")
		is.NoErr(err)
		f.add()
		time.Sleep(catchUp)
		is.Equal(f.members(), []chestnutcleat.VMID{"s02", "s03"}) // another VM takes the place of the second one
		_, err = f.fetch("before")
		is.NoErr(err)
	})
}

// Of two copies both are written to, so turns wait for the place of a lost disk: it must be filled as soon as its VM is back.
func TestNewDiskIsTakenAtOnce(t *testing.T) {
	play(t, 2, 3, 1, func(_ context.Context, t *testing.T, f *fleet) {
		is := is.New(t)
		time.Sleep(catchUp)
		is.NoErr(f.write("before", ""))
		f.halt(f.list[1])
		f.wipe(f.list[1])
		f.start(f.list[1])
		back := time.Now()
		for f.write("after", "") != nil {
			time.Sleep(50 * time.Millisecond)
		}
		t.Logf("written after %v", time.Since(back))
		is.True(time.Since(back) < steady*interval)
	})
}

// While too few copies answer, a record must be refused at once and not after the time that its request has; once they are
// back, writes go on.
func TestRefusedAtOnce(t *testing.T) {
	play(t, 3, 3, 1, func(ctx context.Context, t *testing.T, f *fleet) {
		f.setCut(f.list[0], true)
		f.setCut(f.list[1], true)
		_ = f.write("first", "") // learns of the loss
		start := time.Now()
		if err := f.write("second", ""); !errors.Is(err, ledger.ErrUnsure) || time.Since(start) > 0 {
			t.Errorf("%v after %v", err, time.Since(start))
		}
		// What nobody waits for is written later: a settlement that is dropped leaves its reservation in place for good.
		r := ledger.Record{Kind: ledger.Settle, Customer: "c", Program: "p", Attempt: "a", Tokens: 5, Until: time.Now().Add(time.Hour).Unix()}
		f.client.Post(r)
		f.setCut(f.list[0], false)
		time.Sleep(2 * time.Second)
		if err := f.write("third", ""); err != nil {
			t.Error(err)
		}
		r.Kind, r.Attempt = ledger.Reserve, "b"
		others, err := f.client.Write(ctx, r)
		if err != nil || len(others) != 1 || others[0].Tokens != 5 {
			t.Errorf("attempts %v, error %v", others, err)
		}
	})
}

// Reservations at the same moment must not pass the budget together, and one after the other must use it up.
func TestBudgetUnderLosses(t *testing.T) {
	play(t, 3, 3, 7, func(ctx context.Context, t *testing.T, f *fleet) {
		granted := make(chan chestnutcleat.Tokens, 1000)
		var g sync.WaitGroup
		for worker := range 4 {
			g.Go(func() {
				for i := range 40 {
					id := chestnutcleat.RequestID(fmt.Sprintf("%d-%d", worker, i))
					r := ledger.Record{Kind: ledger.Reserve, Customer: "c", Program: "p", Attempt: id, Tokens: 30, Until: time.Now().Add(time.Hour).Unix()}
					wait, done := context.WithTimeout(ctx, time.Second)
					others, err := f.client.Write(wait, r)
					done()
					if err == nil && ledger.Fits(budget, others, 30) {
						granted <- 30
					} else {
						r.Kind, r.Tokens = ledger.Settle, 0
						f.client.Post(r)
					}
					time.Sleep(100 * time.Millisecond)
				}
			})
		}
		for _, v := range faults[:3] {
			v.run(f, f.list[0])
			time.Sleep(catchUp)
		}
		g.Wait()
		close(granted)
		total := chestnutcleat.Tokens(0)
		for n := range granted {
			total += n
		}
		if total > budget || total < budget-60 {
			t.Errorf("granted %d of %d", total, budget)
		}
	})
}

// The end of an answer that waits for its turn to be kept must not be lost because the copies were away for a moment.
func TestPersistWaits(t *testing.T) {
	play(t, 3, 3, 1, func(ctx context.Context, t *testing.T, f *fleet) {
		is := is.New(t)
		f.setCut(f.list[0], true)
		f.setCut(f.list[1], true)
		_ = f.write("first", "") // learns of the loss
		time.AfterFunc(time.Second, func() {
			f.setCut(f.list[0], false)
		})
		wait, done := context.WithTimeout(ctx, 3*time.Second)
		_, err := f.client.Persist(wait, ledger.Record{Kind: ledger.Keep, Customer: "c", Attempt: "kept", Until: time.Now().Add(time.Hour).Unix()})
		is.NoErr(err)
		done()
	})
}

// When a disk is replaced, only the new copy may copy, and each record once: all copies used to read from all others, which
// five small VMs with a minute of kept turns did not end in the time that they had, while writes were refused.
func TestReplacementCopiesOnce(t *testing.T) {
	play(t, 5, 5, 1, func(ctx context.Context, t *testing.T, f *fleet) {
		const turns, size = 400, 8 << 10
		is := is.New(t)
		for i := range turns {
			_, err := f.client.Write(ctx, ledger.Record{
				Kind: ledger.Keep, Customer: "c", Attempt: chestnutcleat.RequestID(fmt.Sprint(i)), Input: make([]byte, size), Until: time.Now().Add(time.Hour).Unix(),
			})
			is.NoErr(err)
		}
		before := make([]int, len(f.list))
		for i, s := range f.list {
			before[i] = f.network.Traffic(s.address).Bytes
		}
		f.halt(f.list[4])
		f.wipe(f.list[4])
		f.start(f.list[4])
		time.Sleep(catchUp)
		for i, s := range f.list {
			n := f.network.Traffic(s.address).Bytes - before[i]
			t.Logf("%s: %d bytes for %d of records", s.id, n, turns*size)
			is.True(n < 5*turns*size/4)
			is.True(i < 4 == (n < turns*size*3/4) || i == 0)
		}
		is.Equal(len(f.client.Copies().Next), 0)
		is.True(chestnutcleat.Contains(f.client.Copies().Disks, f.list[4].disk))
	})
}
