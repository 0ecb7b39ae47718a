package chestnutcleat

// CacheEvent tells that an engine stored or evicted a prefix.
type CacheEvent struct {
	Sequence Sequence `json:"sequence"`
	Prefix   Digest   `json:"prefix"`
	Evicted  bool     `json:"evicted,omitempty"`
	Tokens   Tokens   `json:"tokens"`
}
