package engine

import "chestnutcleat.example/chestnutcleat"

// Usage is the field "usage" of a completion.
type Usage struct {
	Prompt     chestnutcleat.Tokens `json:"prompt_tokens"`
	Completion chestnutcleat.Tokens `json:"completion_tokens"`
	Total      chestnutcleat.Tokens `json:"total_tokens"`
	Details    *Details             `json:"prompt_tokens_details,omitempty"`
}

// Details is the breakdown of the prompt tokens.
type Details struct {
	Cached chestnutcleat.Tokens `json:"cached_tokens"`
}

// Domain converts the usage to chestnutcleat.Usage.
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
