package caller

import (
	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/upstream"
)

// result is the result of one attempt.
type result struct {
	// answer is complete when err is nil; otherwise only its usage is valid.
	answer chestnutcleat.Answer
	// history has the chained digests of the messages, including the answer.
	history []chestnutcleat.Digest
	err     *upstream.Error
}
