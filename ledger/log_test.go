package ledger

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/matryer/is"

	"chestnutcleat.example/chestnutcleat"
)

func turnRecord(id, previous string) *Record {
	return &Record{
		Kind: StoreTurn, Customer: "c", Attempt: chestnutcleat.RequestID(id), Previous: chestnutcleat.RequestID(previous),
		Input: []byte("in " + id), Output: []byte("out " + id + "\n"), ExpiresAt: 1 << 40,
	}
}

func readAll(t *testing.T, folder string) (*diskLog, []string, error) {
	t.Helper()
	var ids []string
	l, err := openLog(folder, func(r *Record, _ location) { ids = append(ids, string(r.Attempt)) })
	return l, ids, err
}

func mustAppend(t *testing.T, l *diskLog, list ...*Record) []location {
	t.Helper()
	locations, err := l.append(list)
	if err != nil {
		t.Fatal(err)
	}
	return locations
}

// A power loss may cut the last record at any byte: all complete records before it must be read, and new ones appended.
func TestTornTail(t *testing.T) {
	is := is.New(t)
	source := t.TempDir()
	l, _, err := readAll(t, source)
	is.NoErr(err)
	mustAppend(t, l, turnRecord("1", ""))
	size := l.bytes()
	mustAppend(t, l, turnRecord("2", "1"))
	is.NoErr(l.close())
	data, err := os.ReadFile(segmentPath(source, 1))
	is.NoErr(err)
	for cut := size; cut < int64(len(data)); cut++ {
		folder := t.TempDir()
		is.NoErr(os.WriteFile(filepath.Join(folder, "00000001.log"), data[:cut], 0o600))
		l, ids, err := readAll(t, folder)
		is.NoErr(err)
		is.Equal(ids, []string{"1"})
		mustAppend(t, l, turnRecord("3", "1"))
		is.NoErr(l.close())
		_, ids, err = readAll(t, folder)
		is.NoErr(err)
		is.Equal(ids, []string{"1", "3"})
	}
}

// A damaged record before the last segment must be reported: truncating there would silently lose acknowledged records.
func TestDamagedSegment(t *testing.T) {
	is := is.New(t)
	folder := t.TempDir()
	l, _, err := readAll(t, folder)
	is.NoErr(err)
	mustAppend(t, l, turnRecord("1", ""))
	is.NoErr(l.close())
	is.NoErr(os.WriteFile(filepath.Join(folder, "00000002.log"), nil, 0o600))
	data, err := os.ReadFile(segmentPath(folder, 1))
	is.NoErr(err)
	data[len(data)-1] ^= 1
	is.NoErr(os.WriteFile(segmentPath(folder, 1), data, 0o600))
	_, _, err = readAll(t, folder)
	is.True(err != nil)
}

// A failed write may leave bytes after the last record; the segment must not count as damaged once another one follows.
func TestSegmentEndsAfterFailedWrite(t *testing.T) {
	is := is.New(t)
	folder := t.TempDir()
	l, _, err := readAll(t, folder)
	is.NoErr(err)
	locations := mustAppend(t, l, turnRecord("1", ""))
	_, err = l.active().file.WriteAt([]byte("rest of a longer write"), l.active().size)
	is.NoErr(err)
	is.NoErr(l.startSegment())
	mustAppend(t, l, turnRecord("2", "1"))
	r, err := l.read(locations[0])
	is.NoErr(err)
	is.Equal(r.Attempt, chestnutcleat.RequestID("1"))
	is.NoErr(l.close())
	l, ids, err := readAll(t, folder)
	is.NoErr(err)
	is.Equal(ids, []string{"1", "2"})
	is.NoErr(l.removeOldest())
	_, err = l.read(locations[0])
	is.Equal(err, errRemoved)
	is.NoErr(l.close())
}

// A folder that lost its id file must become a new disk without segments, as the remaining files can't be trusted.
func TestDiskID(t *testing.T) {
	is := is.New(t)
	folder := t.TempDir()
	first, err := loadDiskID(folder)
	is.NoErr(err)
	again, err := loadDiskID(folder)
	is.NoErr(err)
	is.Equal(first, again)
	is.NoErr(os.WriteFile(filepath.Join(folder, "00000001.log"), []byte("x"), 0o600))
	is.NoErr(os.Remove(filepath.Join(folder, diskIDFile)))
	other, err := loadDiskID(folder)
	is.NoErr(err)
	is.True(other != first)
	numbers, err := segmentNumbers(folder)
	is.NoErr(err)
	is.Equal(len(numbers), 0)
}

// After a power loss a segment may hold anything. Reading it must return complete records or an error, never panic, and
// reading it again after the truncation must return the same number of records.
func FuzzSegment(f *testing.F) {
	folder := f.TempDir()
	l, err := openLog(folder, func(*Record, location) {})
	if err != nil {
		f.Fatal(err)
	}
	if _, err := l.append([]*Record{turnRecord("1", ""), turnRecord("2", "1")}); err != nil {
		f.Fatal(err)
	}
	data, err := os.ReadFile(segmentPath(folder, 1))
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
			t.Fatalf("%d records at first, %d when read again: %v", len(first), len(again), err)
		}
		if err := l.close(); err != nil {
			t.Fatal(err)
		}
	})
}
