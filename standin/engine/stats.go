package engine

import "chestnutcleat.example/chestnutcleat"

// Stats holds the counters of an engine.
type Stats struct {
	Requests int                  `json:"requests"`
	Crashes  int                  `json:"crashes"`
	Prompt   chestnutcleat.Tokens `json:"prompt"`
	Cached   chestnutcleat.Tokens `json:"cached"`
	Output   chestnutcleat.Tokens `json:"output"`
	// Recomputed counts prompt tokens that were processed although another engine had them cached.
	Recomputed chestnutcleat.Tokens `json:"wasted"`
}
