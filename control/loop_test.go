package control_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/control"
)

// runLoop runs a test with a loop in virtual time.
func runLoop(t *testing.T, test func(ctx context.Context, is *is.I, l *control.Loop)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		l := control.New()
		go l.Run(ctx)
		test(ctx, is.New(t), l)
	})
}

// A timer that is stopped when its function is already queued must not run it: a lease would act on a canceled step.
func TestStoppedTimerDoesNotRun(t *testing.T) {
	runLoop(t, func(_ context.Context, is *is.I, l *control.Loop) {
		ran := false
		var timer chestnutcleat.Timer
		l.Post(func() {
			timer = l.After(time.Second, func() { ran = true })
			l.After(time.Second, func() {})
		})
		synctest.Wait()
		l.Post(func() {
			time.Sleep(2 * time.Second)
			timer.Stop()
		})
		time.Sleep(5 * time.Second)
		synctest.Wait()
		is.True(!ran)
	})
}

// Results of Async must arrive in the control goroutine, whose state has no locks.
func TestAsyncDeliversInLoop(t *testing.T) {
	runLoop(t, func(ctx context.Context, is *is.I, l *control.Loop) {
		count := 0
		for range 100 {
			chestnutcleat.Async(l, time.Second, func(context.Context) (int, error) { return 1, nil }, func(n int, _ error) { count += n })
		}
		synctest.Wait()
		got := 0
		is.NoErr(l.Do(ctx, func() { got = count }))
		is.Equal(got, 100)
	})
}

// A function whose caller gave up waiting must not run later and write what the caller reads.
func TestDoAbandoned(t *testing.T) {
	runLoop(t, func(ctx context.Context, is *is.I, l *control.Loop) {
		l.Post(func() { time.Sleep(time.Minute) })
		short, end := context.WithTimeout(ctx, time.Second)
		defer end()
		ran := false
		is.True(l.Do(short, func() { ran = true }) != nil)
		time.Sleep(2 * time.Minute)
		synctest.Wait()
		is.True(!ran)
	})
}
