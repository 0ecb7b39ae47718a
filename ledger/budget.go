package ledger

import "chestnutcleat.example/chestnutcleat"

// Fits reports whether a program's budget holds one more turn beside what its other attempts reserved or used.
func Fits(budget chestnutcleat.Tokens, others []Attempt, most chestnutcleat.Tokens) bool {
	total := most
	for _, a := range others {
		total += a.Tokens
	}
	return total <= budget
}
