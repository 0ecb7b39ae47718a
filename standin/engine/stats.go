package engine

import "chestnutcleat.example/chestnutcleat"

// Stats counts what an engine did.
type Stats struct {
	Requests int                  `json:"requests"`
	Crashes  int                  `json:"crashes"`
	Prompt   chestnutcleat.Tokens `json:"prompt"`
	Cached   chestnutcleat.Tokens `json:"cached"`
	Output   chestnutcleat.Tokens `json:"output"`
	// Wasted counts prompt tokens that were processed although some engine held them.
	Wasted chestnutcleat.Tokens `json:"wasted"`
}
