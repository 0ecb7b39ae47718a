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
	// maxFlushesPerSecond limits the platform writes of the journals of all VMs together.
	maxFlushesPerSecond = 150
	// flushDelay is how long records that are not urgent wait to be written in one batch; in a large fleet it is longer.
	flushDelay = time.Second
	// journalPrefix starts the names of the journal objects.
	journalPrefix chestnutcleat.ObjectName = "journal/"
)

// flushState tracks the writes of the journal object.
type flushState struct {
	dirty        bool
	timer        chestnutcleat.Timer
	due          time.Time
	writing      bool
	lastWrite    time.Time
	version      chestnutcleat.Version
	versionKnown bool
	// flushedIndex is the index up to which the object holds the entries.
	flushedIndex LogIndex
}

// journalObject is the content of a VM's journal object.
type journalObject struct {
	Epoch   chestnutcleat.Epoch `json:"epoch"`
	Entries []Entry             `json:"entries"`
}

func journalName(id chestnutcleat.VMID) chestnutcleat.ObjectName {
	return journalPrefix + chestnutcleat.ObjectName(id)
}

// readJournal returns the entries of a VM's journal object, or none if the object is of another epoch.
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

// scheduleFlush schedules a write of the journal object.
func (k *Keeper) scheduleFlush(urgent bool) {
	f := &k.journal.flush
	f.dirty = true
	interval := time.Second * time.Duration(len(k.fleet.Members)) / maxFlushesPerSecond
	due := f.lastWrite.Add(interval)
	if !urgent {
		due = time.Now().Add(max(interval, flushDelay))
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
	f.lastWrite = time.Now()
	own := k.own
	index := own.store.lastIndex
	data, complete := own.store.encodeJournal(own.epoch)
	if !complete {
		k.emit(event.LeaseJournalFull, "records", len(own.store.entries))
	}
	name, version, known := journalName(k.Self.ID), f.version, f.versionKnown
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
		f.versionKnown = err == nil
		if err != nil {
			k.emit(event.LeaseJournalFailed, "error", err)
			f.lastWrite = time.Now().Add(retryInterval)
			k.scheduleFlush(true)
			return
		}
		f.version = v
		if k.own == own {
			f.flushedIndex = index
			k.resolveAppends()
		}
		if f.dirty {
			k.scheduleFlush(true)
		}
	})
}
