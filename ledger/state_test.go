package ledger

import (
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"chestnutcleat.example/chestnutcleat"
)

func reserveRecord(id string, n chestnutcleat.Tokens) *Record {
	return &Record{Kind: Reserve, Customer: "c", Program: "p", Attempt: chestnutcleat.RequestID(id), Tokens: n, ExpiresAt: 1 << 40}
}

func settleRecord(id string, n chestnutcleat.Tokens) *Record {
	r := reserveRecord(id, n)
	r.Kind = Settle
	return r
}

func sortByID(list []Attempt) []Attempt {
	slices.SortFunc(list, func(a, b Attempt) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return list
}

// Replicas get records in different orders and more than once; a different result would let a budget be exceeded.
func TestApplyInAnyOrder(t *testing.T) {
	is := is.New(t)
	records := []*Record{reserveRecord("a", 50), settleRecord("a", 20), reserveRecord("b", 30), reserveRecord("c", 10), settleRecord("c", 0)}
	want := []Attempt{{"a", 20, true}, {"b", 30, false}, {"c", 0, true}}
	r := rand.New(rand.NewPCG(1, 1))
	for range 200 {
		s := newState()
		list := append(slices.Clone(records), records[r.IntN(len(records))])
		r.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
		for _, v := range list {
			s.apply(v, location{})
		}
		is.Equal(sortByID(s.attempts(reserveRecord("d", 1))), want)
	}
}

// A reservation known to one replica must not hide the settlement known to another.
func TestMergeAttempts(t *testing.T) {
	is := is.New(t)
	for _, order := range [][]int{{0, 1}, {1, 0}} {
		replicas := [][]Attempt{{{"a", 50, false}}, {{"a", 20, true}, {"b", 5, false}}}
		into := map[chestnutcleat.RequestID]Attempt{}
		for _, i := range order {
			mergeAttempts(into, replicas[i])
		}
		is.Equal(into["a"], Attempt{"a", 20, true})
		is.Equal(len(into), 2)
	}
}

// The budget must cover this turn's maximum besides the other attempts' reservations, and refuse nothing that fits.
func TestFits(t *testing.T) {
	is := is.New(t)
	others := []Attempt{{"a", 20, true}, {"b", 30, false}}
	is.True(Fits(100, others, 50))
	is.True(!Fits(100, others, 51))
	is.True(Fits(50, nil, 50))
}

// A turn must not expire while a later turn of its chain is still needed.
func TestChainExpiresAsAWhole(t *testing.T) {
	is := is.New(t)
	s := newState()
	start := time.Unix(1000, 0)
	ids := []string{"1", "2", "3"}
	for i, id := range ids {
		r := turnRecord(id, "")
		if i > 0 {
			r.Previous = chestnutcleat.RequestID(ids[i-1])
		}
		r.ExpiresAt = start.Add(time.Duration(i) * time.Minute).Unix()
		s.apply(r, location{offset: int64(i)})
	}
	s.expire(start.Add(110 * time.Second))
	chain := s.chainLocations("c", "3")
	is.Equal(chain, []location{{offset: 2}, {offset: 1}, {offset: 0}})
	is.Equal(len(s.chainLocations("other", "3")), 0) // another customer's
	s.expire(start.Add(3 * time.Minute))
	is.Equal(len(s.chainLocations("c", "3")), 0)
	is.Equal(s.memory, int64(0)) // the memory estimate returns to zero
}

// Turns that refer to each other must not make a replica loop forever.
func TestCyclicChainTerminates(t *testing.T) {
	s := newState()
	s.apply(turnRecord("a", "b"), location{})
	s.apply(turnRecord("b", "a"), location{})
	if n := len(s.chainLocations("c", "a")); n > maxChainTurns {
		t.Errorf("chain has %d turns", n)
	}
}

// A second turn with the id of a kept one must not replace it, as later turns continue the first one.
func TestFirstTurnStands(t *testing.T) {
	is := is.New(t)
	s := newState()
	s.apply(turnRecord("a", ""), location{offset: 1, bytes: 10})
	s.apply(turnRecord("b", "a"), location{offset: 2, bytes: 10})
	s.apply(turnRecord("a", "b"), location{offset: 3, bytes: 10})
	is.Equal(s.chainLocations("c", "b"), []location{{offset: 2, bytes: 10}, {offset: 1, bytes: 10}})
	s.apply(turnRecord("a", ""), location{offset: 4, bytes: 10}) // moved by a compaction
	is.Equal(s.chainLocations("c", "a"), []location{{offset: 4, bytes: 10}})
}

// A turn must live as long as the later turns of its chain, also if its replica gets it after them: it kept its own, shorter life.
func TestLatePredecessorLivesAsLongAsItsChain(t *testing.T) {
	is := is.New(t)
	start := time.Unix(1000, 0)
	var records []*Record
	for i, id := range []string{"1", "2", "3"} {
		previous := ""
		if i > 0 {
			previous = string(records[i-1].Attempt)
		}
		r := turnRecord(id, previous)
		r.ExpiresAt = start.Add(time.Duration(i) * time.Minute).Unix()
		records = append(records, r)
	}
	for _, order := range [][]int{{0, 1, 2}, {2, 1, 0}, {2, 0, 1}, {1, 0, 2}, {0, 2, 1}, {1, 2, 0}} {
		s := newState()
		for _, i := range order {
			s.apply(records[i], location{offset: int64(i)})
		}
		s.expire(start.Add(90 * time.Second))
		is.Equal(s.chainLocations("c", "3"), []location{{offset: 2}, {offset: 1}, {offset: 0}})
	}
}
