package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// recorder writes the lines of record.txt.
type recorder struct {
	start time.Time

	mu   sync.Mutex
	file *os.File
}

func newRecorder(path string) (*recorder, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &recorder{start: time.Now(), file: file}, nil
}

// note writes one line with the time since the start.
func (r *recorder) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f s  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}
