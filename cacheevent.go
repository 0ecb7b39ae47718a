package chestnutcleat

// CacheEvent reports that an engine added a prefix to its cache or evicted it.
type CacheEvent struct {
	Sequence Sequence `json:"sequence"`
	Prefix   Digest   `json:"prefix"`
	Evicted  bool     `json:"evicted,omitempty"`
	Tokens   Tokens   `json:"tokens"`
}
