package program_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/program"
	"chestnutcleat.example/chestnutcleat/standin/resources"
)

// inlineLoop runs posted functions immediately and no timers.
type inlineLoop struct{}

func (inlineLoop) Post(f func()) { f() }

func (inlineLoop) After(time.Duration, func()) chestnutcleat.Timer { return stopped{} }

type stopped struct{}

func (stopped) Stop() bool { return true }

// countingJournal acknowledges records immediately and counts them.
type countingJournal struct {
	records, bytes int
}

func (c *countingJournal) Append(records []chestnutcleat.Record, done func(error)) {
	for _, r := range records {
		c.records++
		c.bytes += len(r.Data)
	}
	done(nil)
}

// BenchmarkHeldProgram measures memory and time per program in memory, each with 20 finished calls and retained answers of
// 1 KB. One operation creates all programs.
func BenchmarkHeldProgram(b *testing.B) {
	for _, n := range []int{200, 800, 3200} {
		b.Run(fmt.Sprint("programs=", n), func(b *testing.B) {
			var bytes, records, data float64
			for b.Loop() {
				before := resources.LiveHeap()
				c := &countingJournal{}
				manager := &program.Manager{Loop: inlineLoop{}, Journal: c, Limits: func() chestnutcleat.Limits { return chestnutcleat.Limits{} }}
				for p := range n {
					runProgram(b, manager, chestnutcleat.ProgramID(fmt.Sprint("p", p)))
				}
				bytes += float64(resources.LiveHeap()) - float64(before)
				records += float64(c.records)
				data += float64(c.bytes)
				runtime.KeepAlive(manager)
			}
			per := float64(b.N * n)
			b.ReportMetric(bytes/per, "heapB/program")
			b.ReportMetric(records/per, "records/program")
			b.ReportMetric(data/per, "recordB/program")
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/per/20, "ns/call")
		})
	}
}

func runProgram(b *testing.B, manager *program.Manager, id chestnutcleat.ProgramID) {
	var after chestnutcleat.CallID
	for i := range 20 {
		c := newCall(chestnutcleat.CallID(fmt.Sprint("c", i)), after)
		c.Program = id
		var r chestnutcleat.BeginReply
		manager.Begin(chestnutcleat.BeginRequest{ID: chestnutcleat.RequestID(fmt.Sprint(id, i)), Call: c}, func(v chestnutcleat.BeginReply) { r = v })
		if !r.Run {
			b.Fatalf("call %d of %s does not run: %+v", i, id, r.Problem)
		}
		manager.Start(chestnutcleat.StartRequest{Customer: c.Customer, Program: id, Call: c.ID, Attempt: r.Attempt}, func(chestnutcleat.StartReply) {})
		s := done(c, r.Attempt)
		s.Answer.Body = make([]byte, 1024)
		manager.Settle(s, func(chestnutcleat.SettleReply) {})
		after = c.ID
	}
}
