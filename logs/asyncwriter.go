package logs

import (
	"io"
	"sync/atomic"
)

// maxQueuedLines bounds the lines waiting to be written; a line is a few hundred bytes.
const maxQueuedLines = 2048

// AsyncWriter writes lines to a slow output without blocking the caller; it drops lines when its queue is full.
type AsyncWriter struct {
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}
}

// NewAsyncWriter returns a Bounded that writes to w.
func NewAsyncWriter(w io.Writer) *AsyncWriter {
	b := &AsyncWriter{lines: make(chan []byte, maxQueuedLines), done: make(chan struct{})}
	go b.run(w)
	return b
}

func (b *AsyncWriter) run(w io.Writer) {
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
func (b *AsyncWriter) Write(line []byte) (int, error) {
	select {
	case b.lines <- append([]byte{}, line...):
	default:
		b.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped and of writes that failed.
func (b *AsyncWriter) Dropped() int64 { return b.dropped.Load() }

// Close writes the queued lines. Write must not be called after it.
func (b *AsyncWriter) Close() {
	close(b.lines)
	<-b.done
}
