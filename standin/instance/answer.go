package instance

import (
	"fmt"
	"hash/fnv"
	"strings"
)

// TokensPerEvent is the number of tokens in each event of a stream.
const TokensPerEvent = 10

// StreamPrefix is the prefix of the paths whose responses are streams.
const StreamPrefix = "/plan/"

const (
	minEvents       = 2
	eventCountRange = 6
)

// Answer returns the body of a plain response, computed from the request.
func Answer(id, body string) string {
	return fmt.Sprintf("%s got %d bytes %x\n", id, len(body), hash(body)) + strings.Repeat("x", int(hash(id)%400))
}

// EventCount returns the number of events in the stream of a request.
func EventCount(id string) int { return minEvents + int(hash(id)%eventCountRange) }

// EventData returns the data of event n of a request's stream, counted from 1.
func EventData(id string, n int) string {
	return fmt.Sprintf("%s piece %d of %d", id, n, EventCount(id))
}

// Output returns the data of all events of a request, each with a line feed, as it is part of the input of later turns.
func Output(id string) string {
	var b strings.Builder
	for n := 1; n <= EventCount(id); n++ {
		b.WriteString(EventData(id, n) + "\n")
	}
	return b.String()
}

func hash(s string) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(s))
	return h.Sum32()
}
