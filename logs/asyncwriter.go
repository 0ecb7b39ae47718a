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

// NewAsyncWriter returns an AsyncWriter that writes to w.
func NewAsyncWriter(w io.Writer) *AsyncWriter {
	a := &AsyncWriter{lines: make(chan []byte, maxQueuedLines), done: make(chan struct{})}
	go a.run(w)
	return a
}

func (a *AsyncWriter) run(w io.Writer) {
	defer close(a.done)
	var batch []byte
	for line := range a.lines {
		batch = append(batch[:0], line...)
		// Queued lines share one write.
		for n := len(a.lines); n > 0; n-- {
			batch = append(batch, <-a.lines...)
		}
		if _, err := w.Write(batch); err != nil {
			a.dropped.Add(1)
		}
	}
}

// Write implements io.Writer.
func (a *AsyncWriter) Write(line []byte) (int, error) {
	select {
	case a.lines <- append([]byte{}, line...):
	default:
		a.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped and of writes that failed.
func (a *AsyncWriter) Dropped() int64 { return a.dropped.Load() }

// Close writes the queued lines. Write must not be called after it.
func (a *AsyncWriter) Close() {
	close(a.lines)
	<-a.done
}
