package chestnutcleat

// Usage counts the tokens of a call.
type Usage struct {
	Prompt Tokens `json:"prompt"`
	// Cached is the number of prompt tokens found in the engine's prefix cache.
	Cached Tokens `json:"cached"`
	Output Tokens `json:"output"`
}

// Total returns the number of tokens that count against a budget.
func (u Usage) Total() Tokens { return u.Prompt + u.Output }
