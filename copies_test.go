package chestnutcleat

import (
	"testing"

	"github.com/matryer/is"
)

func disks(ids string) []Copy {
	var list []Copy
	for _, id := range ids {
		list = append(list, Copy{Disk: DiskID(id)})
	}
	return list
}

func among(ids string) func(DiskID) bool {
	return func(d DiskID) bool { return Contains(disks(ids), d) }
}

// While the set changes, a write that only one of the sets holds is lost with the other one.
func TestQuorums(t *testing.T) {
	for _, c := range []struct {
		present, next, held string
		written, read       bool
	}{
		{"abc", "", "a", false, false},
		{"abc", "", "ab", true, true},
		{"abc", "", "d", false, false},
		{"abcde", "", "ab", false, false},
		{"abcde", "", "abc", true, true},
		{"ab", "", "a", false, true}, // two copies are both written, so one is enough to read
		{"ab", "", "ab", true, true},
		{"a", "", "a", true, true},
		{"", "", "a", false, false},
		{"abc", "abd", "ab", true, true},
		{"abc", "abd", "ac", false, true},
		{"abc", "abd", "bd", false, false},
		{"abc", "ade", "abd", true, true},
		{"abc", "def", "ab", false, true},
		{"abc", "def", "abde", true, true},
		{"abc", "ab", "ac", false, true},
	} {
		t.Run(c.present+">"+c.next+" "+c.held, func(t *testing.T) {
			is := is.New(t)
			s := Copies{Disks: disks(c.present), Next: disks(c.next)}
			is.Equal(s.Written(among(c.held)), c.written)
			is.Equal(s.Read(among(c.held)), c.read)
		})
	}
}

// Every read quorum must share a copy with every write quorum.
func TestQuorumsMeet(t *testing.T) {
	is := is.New(t)
	for n := 1; n < 12; n++ {
		is.True(WriteQuorum(n)+ReadQuorum(n) > n)
		is.True(2*WriteQuorum(n) > n)
	}
}

// A copy of both sets must be written to once.
func TestAllCopies(t *testing.T) {
	is := is.New(t)
	s := Copies{Disks: disks("abc"), Next: disks("bcd")}
	is.Equal(s.All(), disks("abcd"))
}

// Copies that stay must copy from each other where a write quorum of the present disks may leave too few behind.
func TestCarried(t *testing.T) {
	for _, tt := range []struct {
		present, next string
		carried       bool
	}{
		{"abc", "abd", true},
		{"abcde", "abcdf", true},
		{"abcde", "abcfg", true},
		{"abc", "abcde", true},
		{"ab", "abc", true},
		{"a", "abc", true},
		{"abcde", "abc", false}, // a record of c, d and e would be left at c alone
		{"abc", "ab", false},
		{"abcd", "abe", true},
		{"abc", "def", true}, // all are new
	} {
		s := Copies{Disks: disks(tt.present), Next: disks(tt.next)}
		is.New(t).Equal(s.Carried(), tt.carried)
	}
}
