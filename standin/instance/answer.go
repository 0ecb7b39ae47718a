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

// StreamName returns the name from which the stream of a request is computed: the request's id, without the number of the attempt
// on a route whose streams can be resumed, so that a caller's later attempt can go on.
func StreamName(path, id string) string {
	if n := strings.LastIndex(id, "-"); n > 0 && strings.HasPrefix(path, PathResumable) {
		return id[:n]
	}
	return id
}

// EventCount returns the number of events in a stream.
func EventCount(name string) int { return minEvents + int(hash(name)%eventCountRange) }

// versionMark separates the text of an event from the software version that wrote it.
const versionMark = " at "

// EventData returns the data of event n of a stream, counted from 1, as a software version writes it.
func EventData(name, version string, n int) string {
	return fmt.Sprintf("%s piece %d of %d", name, n, EventCount(name)) + versionMark + version
}

// EventVersion returns the software version that wrote an event.
func EventVersion(data string) string {
	_, version, _ := strings.Cut(data, versionMark)
	return version
}

// Output returns the data of all events of a stream, each with a line feed, as it is part of the input of later turns.
func Output(name, version string) string {
	var b strings.Builder
	for n := 1; n <= EventCount(name); n++ {
		b.WriteString(EventData(name, version, n) + "\n")
	}
	return b.String()
}

func hash(s string) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(s))
	return h.Sum32()
}
