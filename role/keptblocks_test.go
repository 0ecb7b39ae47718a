package role

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"

	"chestnutcleat.example/chestnutcleat/entry"
)

// Kept blocks must outlast the storage VM's process, and go on ageing meanwhile. A damaged file must be reported and must not keep the VM
// from starting.
func TestKeptBlocksOutlastProcess(t *testing.T) {
	is := is.New(t)
	path := filepath.Join(t.TempDir(), blocksFile)
	s := &blockStore{path: path}
	is.NoErr(s.read())
	block := entry.Block{Fingerprint: 7, Generation: 1, AgeSeconds: 30}
	_, err := s.keep(t.Context(), blocksReply{Blocks: []entry.Block{block}})
	is.NoErr(err)
	time.Sleep(10 * time.Millisecond)
	again := &blockStore{path: path}
	is.NoErr(again.read())
	is.Equal(again.tracker.BlocksHash(), s.tracker.BlocksHash())
	age := again.tracker.Blocks()[0].AgeSeconds
	is.True(age >= 30.01 && age < 60)
	is.NoErr(os.WriteFile(path, []byte("odd"), 0o600))
	damaged := &blockStore{path: path}
	is.True(damaged.read() != nil)
	is.Equal(len(damaged.tracker.Blocks()), 0)
}
