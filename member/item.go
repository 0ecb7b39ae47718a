package member

import "time"

// item is a small versioned value that is disseminated by gossip.
type item struct {
	Name    string `json:"n"`
	Version uint64 `json:"v"`
	Data    []byte `json:"d,omitempty"`
	// Expiry is in milliseconds since the Unix epoch; zero means none.
	Expiry int64 `json:"e,omitempty"`
	// antiEntropy reports whether the item takes part in anti-entropy.
	antiEntropy bool
	// sendsLeft is the number of further messages that will carry the item.
	sendsLeft int
}

// size returns an estimate of the encoded size in bytes.
func (i *item) size() int { return len(i.Name) + len(i.Data) + 24 }

// expired reports whether the expiry has passed.
func (i *item) expired(now time.Time) bool {
	return i.Expiry != 0 && now.UnixMilli() >= i.Expiry
}
