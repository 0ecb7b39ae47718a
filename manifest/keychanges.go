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
	// gossipPeriod is how long a key change is gossiped; a VM that misses it detects this by the hash of its keys.
	gossipPeriod = time.Minute
	// maxGossipedKeys bounds the key changes in one summary.
	maxGossipedKeys = 16
	// giveTimeout bounds the platform calls that give a key.
	giveTimeout = 15 * time.Second
	// announceTimeout bounds the announcement of a change to all other VMs.
	announceTimeout = 5 * time.Second
	// offerTimeout bounds one offer to one VM.
	offerTimeout  = 500 * time.Millisecond
	offerAttempts = 3
	// maxConcurrentOffers bounds the offers in flight.
	maxConcurrentOffers = 64
	// peerWriteDelay and peerWriteJitter give the wait before this VM writes a withdrawal that the VM it came from
	// has not written to the platform; the jitter keeps VMs from writing at the same time.
	peerWriteDelay  = 30 * time.Second
	peerWriteJitter = 2 * time.Minute
)

// recentKey is a key change that is still gossiped.
type recentKey struct {
	key   Key
	since time.Time
}

// Withdraw revokes a key on this VM immediately and announces it to all others; the platform is updated once it is
// reachable.
func (s *Store) Withdraw(d chestnutcleat.Digest, who string) {
	k := Key{Digest: d, Withdrawn: true, Who: who, Time: time.Now().UTC(), Change: s.newChangeID()}
	if old, ok := s.keys[d]; ok && old.Withdrawn {
		return
	}
	s.mergeKeys([]Key{k}, false)
	s.enqueue(k)
	s.record(Record{Who: who, What: "withdraw key " + d.String(), Result: ResultAccepted, Change: k.Change})
	s.announce()
}

// Give adds a key to a customer; done runs once the platform has accepted or rejected it.
func (s *Store) Give(d chestnutcleat.Digest, c chestnutcleat.CustomerID, who string, done func(error)) {
	k := Key{Digest: d, Customer: c, Who: who, Time: time.Now().UTC(), Change: s.newChangeID()}
	record := Record{Who: who, What: fmt.Sprintf("give key %s to %s", d, c), Change: k.Change}
	finish := func(err error) {
		record.Result = ResultOf(err)
		s.record(record)
		done(err)
	}
	if err := s.validateGive(k); err != nil {
		finish(err)
		return
	}
	work := func(ctx context.Context) (Key, error) { return k, createKey(ctx, s.Platform, k) }
	chestnutcleat.Async(s.Loop, giveTimeout, work, func(k Key, err error) {
		if err == nil {
			s.mergeKeys([]Key{k}, false)
			s.announce()
		}
		finish(err)
	})
}

func (s *Store) validateGive(k Key) error {
	v := s.Current()
	if v.Customer(k.Customer) == nil {
		return &InvalidError{Text: fmt.Sprintf("customer: expected the id of a customer of revision %d, found %q", v.Revision(), k.Customer)}
	}
	switch c, state := v.LookupKey(k.Digest); {
	case state == chestnutcleat.KeyWithdrawn:
		return &InvalidError{Text: fmt.Sprintf("digest: expected a new key, %s was withdrawn", k.Digest)}
	case state == chestnutcleat.KeyActive && c != k.Customer:
		return &InvalidError{Text: "digest: expected a new key, it belongs to another customer"}
	}
	return nil
}

// createKey writes a given key to the platform. On a conflict, which also follows a lost response, it reads the object
// to learn who the key belongs to.
func createKey(ctx context.Context, p chestnutcleat.Platform, k Key) error {
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
				return checkSameCustomer(o, k)
			}
		}
		if chestnutcleat.Sleep(ctx, writeRetryDelay) != nil {
			return &UnresolvedError{Change: k.Change, Cause: err}
		}
	}
}

func checkSameCustomer(o chestnutcleat.Object, k Key) error {
	var have Key
	if err := json.Unmarshal(o.Data, &have); err != nil {
		return fmt.Errorf("decode %s: %w", o.Name, err)
	}
	if have.Customer != k.Customer {
		return &InvalidError{Text: "digest: expected a new key, it belongs to another customer"}
	}
	return nil
}

// mergeKeys adds key changes: a withdrawal replaces a given key, and nothing replaces a withdrawal.
// A withdrawal from another VM is written to the platform if that VM does not do so.
func (s *Store) mergeKeys(list []Key, fromPeer bool) {
	changed := false
	for _, k := range list {
		old, ok := s.keys[k.Digest]
		if ok && (old.Withdrawn || !k.Withdrawn) {
			continue
		}
		if ok {
			s.keysHash ^= old.hash()
		}
		s.keys[k.Digest] = k
		s.keysHash ^= k.hash()
		s.recentKeys = append(s.recentKeys, recentKey{key: k, since: time.Now()})
		changed = true
		if k.Withdrawn {
			s.Observer.Emit(event.KeyWithdrawn, "digest", k.Digest, "who", k.Who)
		} else {
			s.Observer.Emit(event.KeyGiven, "digest", k.Digest, "customer", k.Customer, "who", k.Who)
		}
		if fromPeer && k.Withdrawn {
			s.writeForPeer(k)
		}
	}
	if changed {
		s.publish(s.Current())
		s.save()
	}
}

// writeForPeer writes another VM's withdrawal to the platform after a delay, unless the platform's watch delivers it
// first.
func (s *Store) writeForPeer(k Key) {
	s.pendingWithdrawals[k.name()] = struct{}{}
	s.Loop.After(peerWriteDelay+time.Duration(s.Rand.Int64N(int64(peerWriteJitter))), func() {
		if _, ok := s.pendingWithdrawals[k.name()]; ok {
			delete(s.pendingWithdrawals, k.name())
			s.enqueue(k)
		}
	})
}

// enqueue adds a key change to the outbox.
func (s *Store) enqueue(k Key) {
	data, err := json.Marshal(k)
	if err != nil {
		return
	}
	s.outbox.add(chestnutcleat.Object{Name: k.name(), Data: data})
}

// Summary returns the summary that this VM sends to others.
func (s *Store) Summary() Summary {
	now := time.Now()
	s.recentKeys = slices.DeleteFunc(s.recentKeys, func(recent recentKey) bool { return now.Sub(recent.since) > gossipPeriod })
	o := Summary{Revision: s.root.Revision, Keys: s.keysHash}
	for _, recent := range s.recentKeys[max(0, len(s.recentKeys)-maxGossipedKeys):] {
		o.Latest = append(o.Latest, recent.key)
	}
	return o
}

// Keys returns all key changes, oldest first.
func (s *Store) Keys() []Key {
	r := s.Fetch(FetchRequest{Keys: true})
	slices.SortStableFunc(r.Keys, func(a, b Key) int {
		return cmp.Or(a.Time.Compare(b.Time), cmp.Compare(a.Digest.String(), b.Digest.String()))
	})
	return r.Keys
}

// announce offers the current state to all other VMs, as gossip alone takes more than 5 s in a fleet of 400 VMs.
func (s *Store) announce() {
	o := OfferRequest{From: s.Address, Summary: s.Summary()}
	members := slices.Clone(s.Members())
	work := func(ctx context.Context) (struct{}, error) {
		var g errgroup.Group
		g.SetLimit(maxConcurrentOffers)
		for _, m := range members {
			if m.Address == s.Address || m.State == chestnutcleat.VMGone {
				continue
			}
			g.Go(func() error { return sendOffer(ctx, s.Peers, m.Address, o) })
		}
		return struct{}{}, g.Wait()
	}
	chestnutcleat.Async(s.Loop, announceTimeout, work, func(struct{}, error) {})
}

// sendOffer retries, as a VM that misses the offer learns of the change by gossip only.
func sendOffer(ctx context.Context, p chestnutcleat.Peers, to chestnutcleat.Address, o OfferRequest) error {
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
