package logs

import (
	"io"
	"sync/atomic"
)

// maxQueuedLines bounds the lines waiting to be written; a line is a few hundred bytes.
const maxQueuedLines = 2048

// Bounded writes lines to a slow output without blocking the caller; it drops lines when its queue is full.
type Bounded struct {
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}
}

// NewBounded returns a Bounded that writes to w.
func NewBounded(w io.Writer) *Bounded {
	b := &Bounded{lines: make(chan []byte, maxQueuedLines), done: make(chan struct{})}
	go b.run(w)
	return b
}

func (b *Bounded) run(w io.Writer) {
	defer close(b.done)
	var batch []byte
	for line := range b.lines {
		batch = append(batch[:0], line...)
		// Queued lines share one write.
		for n := len(b.lines); n > 0; n-- {
			batch = append(batch, <-b.lines...)
		}
		if _, err := w.Write(batch); err != nil {
			b.dropped.Add(1)
		}
	}
}

// Write implements io.Writer.
func (b *Bounded) Write(line []byte) (int, error) {
	select {
	case b.lines <- append([]byte{}, line...):
	default:
		b.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped and of writes that failed.
func (b *Bounded) Dropped() int64 { return b.dropped.Load() }

// Close writes the queued lines. Write must not be called after it.
func (b *Bounded) Close() {
	close(b.lines)
	<-b.done
}
