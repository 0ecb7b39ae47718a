package resources

import (
	"runtime"
	"syscall"
	"testing"
	"time"
)

// CPUTime returns the CPU time of this process so far.
func CPUTime(t testing.TB) time.Duration {
	t.Helper()
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		t.Fatalf("usage of this process: %v", err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// LiveHeap returns the bytes of heap in use after a garbage collection. The second one frees what finalizers kept in the first.
func LiveHeap() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
