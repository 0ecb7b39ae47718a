package manifest

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/event"
)

const (
	// freshTime is how long a key change is gossiped; the hash of the set finds older ones that are missing.
	freshTime = time.Minute
	// maxLatest bounds the key changes in one summary.
	maxLatest = 16
	// giveTimeout bounds the platform calls of giving a key.
	giveTimeout = 15 * time.Second
	// announceTimeout bounds telling all other VMs of a change.
	announceTimeout = 5 * time.Second
	// offerTimeout bounds one offer to one VM, and offerAttempts how often it is sent.
	offerTimeout  = 500 * time.Millisecond
	offerAttempts = 3
	// announceAtOnce bounds the VMs that are told at the same time.
	announceAtOnce = 64
	// helpDelay and helpSpread say when another VM writes a withdrawal whose VM has not done so.
	helpDelay  = 30 * time.Second
	helpSpread = 2 * time.Minute
)

// fresh is a key change that is still gossiped.
type fresh struct {
	key   Key
	since time.Time
}

// Withdraw stops a key at once on this VM and tells all others; the platform is told when it is reachable.
func (s *Store) Withdraw(d chestnutcleat.Digest, who string) {
	k := Key{Digest: d, Withdrawn: true, Who: who, Time: time.Now().UTC(), Change: s.newChange()}
	if old, ok := s.keys[d]; ok && old.Withdrawn {
		return
	}
	s.merge([]Key{k}, false)
	s.write(k)
	s.record(Record{Who: who, What: "withdraw key " + d.String(), Result: ResultAccepted, Change: k.Change})
	s.announce()
}

// Give lets a customer use another key; done runs once the platform has accepted or refused it.
func (s *Store) Give(d chestnutcleat.Digest, c chestnutcleat.CustomerID, who string, done func(error)) {
	k := Key{Digest: d, Customer: c, Who: who, Time: time.Now().UTC(), Change: s.newChange()}
	record := Record{Who: who, What: fmt.Sprintf("give key %s to %s", d, c), Change: k.Change}
	finish := func(err error) {
		record.Result = ResultOf(err)
		s.record(record)
		done(err)
	}
	if err := s.mayGive(k); err != nil {
		finish(err)
		return
	}
	work := func(ctx context.Context) (Key, error) { return k, create(ctx, s.Platform, k) }
	chestnutcleat.Async(s.Loop, giveTimeout, work, func(k Key, err error) {
		if err == nil {
			s.merge([]Key{k}, false)
			s.announce()
		}
		finish(err)
	})
}

func (s *Store) mayGive(k Key) error {
	v := s.Current()
	if v.Customer(k.Customer) == nil {
		return &InvalidError{Text: fmt.Sprintf("customer: expected the id of a customer of revision %d, %q is none", v.Revision(), k.Customer)}
	}
	switch c, state := v.Key(k.Digest); {
	case state == chestnutcleat.KeyWithdrawn:
		return &InvalidError{Text: fmt.Sprintf("digest: expected a new key, %s was withdrawn", k.Digest)}
	case state == chestnutcleat.KeyActive && c != k.Customer:
		return &InvalidError{Text: "digest: expected a new key, it belongs to another customer"}
	}
	return nil
}

// create writes a given key; a lost response is settled by reading the object back.
func create(ctx context.Context, p chestnutcleat.Platform, k Key) error {
	data, err := json.Marshal(k)
	if err != nil {
		return err
	}
	for {
		_, err := p.Put(ctx, chestnutcleat.Object{Name: k.name(), Data: data})
		switch {
		case err == nil:
			return nil
		case errors.Is(err, chestnutcleat.ErrConflict):
			o, err := p.Get(ctx, k.name())
			if err == nil {
				return sameKey(o, k)
			}
		}
		if chestnutcleat.Sleep(ctx, settleDelay) != nil {
			return &UnresolvedError{Change: k.Change, Cause: err}
		}
	}
}

func sameKey(o chestnutcleat.Object, k Key) error {
	var have Key
	if err := json.Unmarshal(o.Data, &have); err != nil {
		return fmt.Errorf("decode %s: %w", o.Name, err)
	}
	if have.Customer != k.Customer {
		return &InvalidError{Text: "digest: expected a new key, it belongs to another customer"}
	}
	return nil
}

// merge adds key changes; a withdrawal replaces a gift and nothing replaces a withdrawal.
// Withdrawals that came from another VM are written to the platform if that VM does not do so.
func (s *Store) merge(list []Key, fromPeer bool) {
	changed := false
	for _, k := range list {
		old, ok := s.keys[k.Digest]
		if ok && (old.Withdrawn || !k.Withdrawn) {
			continue
		}
		if ok {
			s.sum ^= old.sum()
		}
		s.keys[k.Digest] = k
		s.sum ^= k.sum()
		s.latest = append(s.latest, fresh{key: k, since: time.Now()})
		changed = true
		if k.Withdrawn {
			s.Observer.Emit(event.KeyWithdrawn, "digest", k.Digest, "who", k.Who)
		} else {
			s.Observer.Emit(event.KeyGiven, "digest", k.Digest, "customer", k.Customer, "who", k.Who)
		}
		if fromPeer && k.Withdrawn {
			s.help(k)
		}
	}
	if changed {
		s.publish(s.Current())
		s.save()
	}
}

// help writes another VM's withdrawal to the platform, unless the platform's watch shows it first.
func (s *Store) help(k Key) {
	s.unconfirmed[k.name()] = struct{}{}
	s.Loop.After(helpDelay+time.Duration(s.Rand.Int64N(int64(helpSpread))), func() {
		if _, ok := s.unconfirmed[k.name()]; ok {
			delete(s.unconfirmed, k.name())
			s.write(k)
		}
	})
}

// write queues a key change for the platform.
func (s *Store) write(k Key) {
	data, err := json.Marshal(k)
	if err != nil {
		return
	}
	s.outbox.add(chestnutcleat.Object{Name: k.name(), Data: data})
}

// Summary returns what this VM gossips.
func (s *Store) Summary() Summary {
	now := time.Now()
	s.latest = slices.DeleteFunc(s.latest, func(f fresh) bool { return now.Sub(f.since) > freshTime })
	o := Summary{Revision: s.root.Revision, Keys: s.sum}
	for _, f := range s.latest[max(0, len(s.latest)-maxLatest):] {
		o.Latest = append(o.Latest, f.key)
	}
	return o
}

// Keys returns all key changes, the oldest first.
func (s *Store) Keys() []Key {
	r := s.Fetch(FetchRequest{Keys: true})
	slices.SortStableFunc(r.Keys, func(a, b Key) int {
		return cmp.Or(a.Time.Compare(b.Time), cmp.Compare(a.Digest.String(), b.Digest.String()))
	})
	return r.Keys
}

// announce tells all other VMs of a change at once: gossip alone needs more than 5 s in a fleet of 400 VMs.
func (s *Store) announce() {
	o := OfferRequest{From: s.Address, Summary: s.Summary()}
	members := slices.Clone(s.Members())
	work := func(ctx context.Context) (struct{}, error) {
		var g errgroup.Group
		g.SetLimit(announceAtOnce)
		for _, m := range members {
			if m.Address == s.Address || m.State == chestnutcleat.VMGone {
				continue
			}
			g.Go(func() error { return tell(ctx, s.Peers, m.Address, o) })
		}
		return struct{}{}, g.Wait()
	}
	chestnutcleat.Async(s.Loop, announceTimeout, work, func(struct{}, error) {})
}

// tell makes several attempts, as a lost offer would leave a VM to gossip alone.
func tell(ctx context.Context, p chestnutcleat.Peers, to chestnutcleat.Address, o OfferRequest) error {
	var err error
	for range offerAttempts {
		var a chestnutcleat.Ack
		attempt, cancel := context.WithTimeout(ctx, offerTimeout)
		err = p.Call(attempt, to, chestnutcleat.MethodOffer, o, &a)
		cancel()
		if err == nil {
			return nil
		}
	}
	return err
}
