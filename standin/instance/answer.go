package instance

import (
	"fmt"
	"hash/fnv"
	"strings"
)

// Chunk is the number of tokens of each event of a stream.
const Chunk = 10

// StreamPrefix begins the paths that are answered by a stream.
const StreamPrefix = "/plan/"

const (
	minPieces = 2
	varyBy    = 6
)

// Answer returns the body of a plain answer.
func Answer(id, body string) string {
	return fmt.Sprintf("%s got %d bytes %x\n", id, len(body), sum(body)) + strings.Repeat("x", int(sum(id)%400))
}

// Pieces returns the number of events of a request's stream.
func Pieces(id string) int { return minPieces + int(sum(id)%varyBy) }

// Piece returns the data of an event, numbered from 1.
func Piece(id string, n int) string { return fmt.Sprintf("%s piece %d of %d", id, n, Pieces(id)) }

// Output returns the data of all events, each with a line feed, as a later turn's input has it.
func Output(id string) string {
	var b strings.Builder
	for n := 1; n <= Pieces(id); n++ {
		b.WriteString(Piece(id, n) + "\n")
	}
	return b.String()
}

func sum(s string) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(s))
	return h.Sum32()
}
