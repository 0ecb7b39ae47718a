package logs

import (
	"io"
	"sync/atomic"
)

// waitingLines bounds the lines that wait for the output; a line is a few hundred bytes.
const waitingLines = 2048

// Bounded passes lines to a slow output without blocking the writer; it drops lines that come too fast.
type Bounded struct {
	lines   chan []byte
	dropped atomic.Int64
	ended   chan struct{}
}

// NewBounded returns a writer to w.
func NewBounded(w io.Writer) *Bounded {
	b := &Bounded{lines: make(chan []byte, waitingLines), ended: make(chan struct{})}
	go b.run(w)
	return b
}

func (b *Bounded) run(w io.Writer) {
	defer close(b.ended)
	var batch []byte
	for line := range b.lines {
		batch = append(batch[:0], line...)
		// Lines that wait share one write.
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

// Dropped returns the number of lines that were not written.
func (b *Bounded) Dropped() int64 { return b.dropped.Load() }

// Close writes what waits; no line may be written after it.
func (b *Bounded) Close() {
	close(b.lines)
	<-b.ended
}
