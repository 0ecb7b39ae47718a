package engine

import "chestnutcleat.example/chestnutcleat"

// Usage is the usage field of an answer.
type Usage struct {
	Prompt     chestnutcleat.Tokens `json:"prompt_tokens"`
	Completion chestnutcleat.Tokens `json:"completion_tokens"`
	Total      chestnutcleat.Tokens `json:"total_tokens"`
	Details    *Details             `json:"prompt_tokens_details,omitempty"`
}

// Details is the part of usage that tells how the prompt was processed.
type Details struct {
	Cached chestnutcleat.Tokens `json:"cached_tokens"`
}

// Domain converts the usage to the type of the root package.
func (u *Usage) Domain() chestnutcleat.Usage {
	if u == nil {
		return chestnutcleat.Usage{}
	}
	out := chestnutcleat.Usage{Prompt: u.Prompt, Output: u.Completion}
	if u.Details != nil {
		out.Cached = u.Details.Cached
	}
	return out
}
