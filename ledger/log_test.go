package ledger

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"github.com/matryer/is"

	"chestnutcleat.example/chestnutcleat"
)

func kept(id, previous string) *Record {
	return &Record{
		Kind: Keep, Customer: "c", Attempt: chestnutcleat.RequestID(id), Previous: chestnutcleat.RequestID(previous),
		Input: []byte("in " + id), Output: []byte("out " + id + "\n"), Until: 1 << 40,
	}
}

func readAll(t *testing.T, folder string) (*diskLog, []string, error) {
	t.Helper()
	var ids []string
	l, err := openLog(folder, func(r *Record) { ids = append(ids, string(r.Attempt)) })
	return l, ids, err
}

// A power loss may tear the last record at any byte; all whole records before it must be read, and new ones appended.
func TestTornTail(t *testing.T) {
	is := is.New(t)
	source := t.TempDir()
	l, _, err := readAll(t, source)
	is.NoErr(err)
	is.NoErr(l.append([]*Record{kept("1", "")}))
	size := l.size
	is.NoErr(l.append([]*Record{kept("2", "1")}))
	is.NoErr(l.close())
	data, err := os.ReadFile(l.path(1))
	is.NoErr(err)
	for cut := size; cut < int64(len(data)); cut++ {
		folder := t.TempDir()
		is.NoErr(os.WriteFile(filepath.Join(folder, "00000001.log"), data[:cut], 0o600))
		l, ids, err := readAll(t, folder)
		is.NoErr(err)
		is.Equal(ids, []string{"1"})
		is.NoErr(l.append([]*Record{kept("3", "1")}))
		is.NoErr(l.close())
		_, ids, err = readAll(t, folder)
		is.NoErr(err)
		is.Equal(ids, []string{"1", "3"})
	}
}

// Damage before the last segment is no torn tail: records that counted would be gone without a word.
func TestDamagedSegment(t *testing.T) {
	is := is.New(t)
	folder := t.TempDir()
	l, _, err := readAll(t, folder)
	is.NoErr(err)
	is.NoErr(l.append([]*Record{kept("1", "")}))
	is.NoErr(l.close())
	is.NoErr(os.WriteFile(filepath.Join(folder, "00000002.log"), nil, 0o600))
	data, err := os.ReadFile(l.path(1))
	is.NoErr(err)
	data[len(data)-1] ^= 1
	is.NoErr(os.WriteFile(l.path(1), data, 0o600))
	_, _, err = readAll(t, folder)
	is.True(err != nil)
}

// A new segment must hold what the old ones added up to before they are removed.
func TestRewrite(t *testing.T) {
	is := is.New(t)
	folder := t.TempDir()
	l, _, err := readAll(t, folder)
	is.NoErr(err)
	for i := range 5 {
		is.NoErr(l.append([]*Record{kept(fmt.Sprint(i), "")}))
	}
	is.NoErr(l.rewrite([]*Record{kept("3", ""), kept("4", "3")}))
	is.NoErr(l.append([]*Record{kept("5", "4")}))
	is.NoErr(l.close())
	l, ids, err := readAll(t, folder)
	is.NoErr(err)
	is.Equal(ids, []string{"3", "4", "5"})
	is.Equal(l.number, 2)
	numbers, err := segments(folder)
	is.NoErr(err)
	is.Equal(numbers, []int{2})
}

// A folder that lost its id is a new disk: what is left in it can't be trusted.
func TestIdentity(t *testing.T) {
	is := is.New(t)
	folder := t.TempDir()
	first, err := identity(folder)
	is.NoErr(err)
	again, err := identity(folder)
	is.NoErr(err)
	is.Equal(first, again)
	is.NoErr(os.WriteFile(filepath.Join(folder, "00000001.log"), []byte("x"), 0o600))
	is.NoErr(os.Remove(filepath.Join(folder, identityFile)))
	other, err := identity(folder)
	is.NoErr(err)
	is.True(other != first)
	numbers, err := segments(folder)
	is.NoErr(err)
	is.Equal(len(numbers), 0)
}

// A segment may hold anything after a loss of power; reading it must end with whole records or an error, never a panic, and
// what was read must be read again after the tail was cut.
func FuzzSegment(f *testing.F) {
	folder := f.TempDir()
	l, err := openLog(folder, func(*Record) {})
	if err != nil {
		f.Fatal(err)
	}
	if err := l.append([]*Record{kept("1", ""), kept("2", "1")}); err != nil {
		f.Fatal(err)
	}
	data, err := os.ReadFile(l.path(1))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Add(data[:len(data)-3])
	f.Fuzz(func(t *testing.T, data []byte) {
		folder := t.TempDir()
		if err := os.WriteFile(filepath.Join(folder, "00000001.log"), data, 0o600); err != nil {
			t.Fatal(err)
		}
		l, first, err := readAll(t, folder)
		if err != nil {
			return
		}
		if err := l.close(); err != nil {
			t.Fatal(err)
		}
		l, again, err := readAll(t, folder)
		if err != nil || len(again) != len(first) {
			t.Fatalf("%d records, then %d: %v", len(first), len(again), err)
		}
		if err := l.close(); err != nil {
			t.Fatal(err)
		}
	})
}
