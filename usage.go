package chestnutcleat

// Usage is what a call used.
type Usage struct {
	Prompt Tokens `json:"prompt"`
	// Cached is the part of the prompt that the engine's prefix cache held.
	Cached Tokens `json:"cached"`
	Output Tokens `json:"output"`
}

// Total returns the tokens that count against a budget.
func (u Usage) Total() Tokens { return u.Prompt + u.Output }
