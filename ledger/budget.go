package ledger

import "chestnutcleat.example/chestnutcleat"

// Fits reports whether a program's budget covers one more turn of at most the given tokens, besides what the
// program's other attempts reserved or used.
func Fits(budget chestnutcleat.Tokens, others []Attempt, maxTokens chestnutcleat.Tokens) bool {
	total := maxTokens
	for _, a := range others {
		total += a.Tokens
	}
	return total <= budget
}
