package chestnutcleat

import (
	"testing"

	"github.com/matryer/is"
)

func replicas(ids string) []Replica {
	var list []Replica
	for _, id := range ids {
		list = append(list, Replica{Disk: DiskID(id)})
	}
	return list
}

func memberOf(ids string) func(DiskID) bool {
	return func(d DiskID) bool { return Contains(replicas(ids), d) }
}

// During a change of the replica set, a write with a quorum in only one of the two sets is lost if the other set takes effect.
func TestQuorums(t *testing.T) {
	for _, c := range []struct {
		current, next, held string
		written, read       bool
	}{
		{"abc", "", "a", false, false},
		{"abc", "", "ab", true, true},
		{"abc", "", "d", false, false},
		{"abcde", "", "ab", false, false},
		{"abcde", "", "abc", true, true},
		{"ab", "", "a", false, true}, // with two replicas a write needs both, so reading one is enough
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
		t.Run(c.current+">"+c.next+" "+c.held, func(t *testing.T) {
			is := is.New(t)
			s := ReplicaSet{Disks: replicas(c.current), NextDisks: replicas(c.next)}
			is.Equal(s.HasWriteQuorum(memberOf(c.held)), c.written)
			is.Equal(s.HasReadQuorum(memberOf(c.held)), c.read)
		})
	}
}

// A read quorum without a replica in common with some write quorum would miss written records.
func TestQuorumsIntersect(t *testing.T) {
	is := is.New(t)
	for n := 1; n < 12; n++ {
		is.True(WriteQuorum(n)+ReadQuorum(n) > n)
		is.True(2*WriteQuorum(n) > n)
	}
}

// A replica in both sets must be listed once, so that each record is written to it once.
func TestAllReplicas(t *testing.T) {
	is := is.New(t)
	s := ReplicaSet{Disks: replicas("abc"), NextDisks: replicas("bcd")}
	is.Equal(s.All(), replicas("abcd"))
}

// If removing replicas can leave a record on less than a write quorum, the remaining replicas must copy from each other.
func TestKeepsWriteQuorum(t *testing.T) {
	for _, tt := range []struct {
		current, next string
		keeps         bool
	}{
		{"abc", "abd", true},
		{"abcde", "abcdf", true},
		{"abcde", "abcfg", true},
		{"abc", "abcde", true},
		{"ab", "abc", true},
		{"a", "abc", true},
		{"abcde", "abc", false}, // a record on c, d and e would remain on c only
		{"abc", "ab", false},
		{"abcd", "abe", true},
		{"abc", "def", true}, // all replicas are new
	} {
		s := ReplicaSet{Disks: replicas(tt.current), NextDisks: replicas(tt.next)}
		is.New(t).Equal(s.KeepsWriteQuorum(), tt.keeps)
	}
}
