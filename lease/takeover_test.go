package lease

import (
	"context"
	"testing"

	"github.com/matryer/is"

	"chestnutcleat.example/chestnutcleat"
)

// postedLoop hands the functions that are posted to it to the test.
type postedLoop struct {
	chestnutcleat.Loop
	posted chan func()
}

func (l postedLoop) Post(f func()) { l.posted <- f }

// emptyPlatform has no objects.
type emptyPlatform struct{ chestnutcleat.Platform }

func (emptyPlatform) Get(context.Context, chestnutcleat.ObjectName) (chestnutcleat.Object, error) {
	return chestnutcleat.Object{}, chestnutcleat.ErrNotFound
}

// A takeover whose journal is still being read must be able to commit: the goroutine that read it looked at the target, whose witnesses
// the commit replaces. The race detector shows it.
func TestJournalIsReadWhileTakeoverCommits(t *testing.T) {
	is := is.New(t)
	loop := postedLoop{posted: make(chan func(), 1)}
	k := &Keeper{Loop: loop, Platform: emptyPlatform{}}
	o := &takeover{entries: map[entryKey]Entry{}}
	k.readJournal(o)
	o.target.Witnesses = []Witness{{VM: "v2"}}
	(<-loop.posted)()
	is.True(o.journalRead)
}
