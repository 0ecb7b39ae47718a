package caller

import (
	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/upstream"
)

// result is how an attempt ended.
type result struct {
	// answer is whole when err is nil; otherwise only its usage counts.
	answer chestnutcleat.Answer
	// history is the chained digest after the answer was added.
	history []chestnutcleat.Digest
	err     *upstream.Error
}
