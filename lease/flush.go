package lease

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/event"
)

const (
	// flushRate is the share of the platform's writes that all journals together may use, in writes per second.
	flushRate = 150
	// lazyFlush is the longest delay of records that are not urgent.
	lazyFlush = time.Second
	// journalPrefix starts the names of the journal objects.
	journalPrefix chestnutcleat.ObjectName = "journal/"
)

// flushState is the state of the journal object.
type flushState struct {
	dirty   bool
	timer   chestnutcleat.Timer
	due     time.Time
	writing bool
	last    time.Time
	version chestnutcleat.Version
	known   bool
	// stamp is the last one that the object holds.
	stamp Stamp
}

// journalObject is the content of a VM's journal object.
type journalObject struct {
	Epoch   chestnutcleat.Epoch `json:"epoch"`
	Entries []Entry             `json:"entries"`
}

func journalName(id chestnutcleat.VMID) chestnutcleat.ObjectName {
	return journalPrefix + chestnutcleat.ObjectName(id)
}

// readJournal returns the entries of a VM's journal object.
func readJournal(ctx context.Context, p chestnutcleat.Platform, m Member) ([]Entry, error) {
	o, err := p.Get(ctx, journalName(m.VM))
	if err != nil {
		return nil, err
	}
	var j journalObject
	if err := json.Unmarshal(o.Data, &j); err != nil {
		return nil, err
	}
	if j.Epoch != m.Epoch {
		return nil, nil
	}
	return j.Entries, nil
}

// markDirty schedules a write of the journal object.
func (k *Keeper) markDirty(urgent bool) {
	f := &k.journal.flush
	f.dirty = true
	pace := time.Second * time.Duration(len(k.fleet.Members)) / flushRate
	due := f.last.Add(pace)
	if !urgent {
		due = time.Now().Add(max(pace, lazyFlush))
	}
	if f.writing || (f.timer != nil && !due.Before(f.due)) {
		return
	}
	if f.timer != nil {
		f.timer.Stop()
	}
	f.due = due
	f.timer = k.Loop.After(max(0, time.Until(due)), func() {
		f.timer = nil
		k.writeJournal()
	})
}

func (k *Keeper) writeJournal() {
	f := &k.journal.flush
	if f.writing || !f.dirty || k.own == nil || k.left {
		return
	}
	f.writing, f.dirty = true, false
	f.last = time.Now()
	own := k.own
	stamp := own.store.stamp
	data, whole := own.store.object(own.epoch)
	if !whole {
		k.emit(event.LeaseJournalFull, "records", len(own.store.entries))
	}
	name, version, known := journalName(k.Self.ID), f.version, f.known
	chestnutcleat.Async(k.Loop, platformTimeout, func(ctx context.Context) (chestnutcleat.Version, error) {
		if !known {
			o, err := k.Platform.Get(ctx, name)
			if err != nil && !errors.Is(err, chestnutcleat.ErrNotFound) {
				return 0, err
			}
			version = o.Version
		}
		return k.Platform.Put(ctx, chestnutcleat.Object{Name: name, Version: version, Data: data})
	}, func(v chestnutcleat.Version, err error) {
		f.writing = false
		f.known = err == nil
		if err != nil {
			k.emit(event.LeaseJournalFailed, "error", err)
			f.last = time.Now().Add(retryInterval)
			k.markDirty(true)
			return
		}
		f.version = v
		if k.own == own {
			f.stamp = stamp
			k.resolveAppends()
		}
		if f.dirty {
			k.markDirty(true)
		}
	})
}
