package engine

import "chestnutcleat.example/chestnutcleat"

// Usage is the field "usage" of a completion.
type Usage struct {
	Prompt     chestnutcleat.Tokens `json:"prompt_tokens"`
	Completion chestnutcleat.Tokens `json:"completion_tokens"`
	Total      chestnutcleat.Tokens `json:"total_tokens"`
	Details    *PromptDetails       `json:"prompt_tokens_details,omitempty"`
}

// PromptDetails is the breakdown of the prompt tokens.
type PromptDetails struct {
	Cached chestnutcleat.Tokens `json:"cached_tokens"`
}

// ToUsage converts the usage to chestnutcleat.Usage.
func (u *Usage) ToUsage() chestnutcleat.Usage {
	if u == nil {
		return chestnutcleat.Usage{}
	}
	out := chestnutcleat.Usage{Prompt: u.Prompt, Output: u.Completion}
	if u.Details != nil {
		out.Cached = u.Details.Cached
	}
	return out
}
