package member

import "time"

// item is a small versioned value that is spread by gossip.
type item struct {
	Name    string `json:"n"`
	Version uint64 `json:"v"`
	Data    []byte `json:"d,omitempty"`
	// Expiry is in milliseconds since 1970; zero means none.
	Expiry int64 `json:"e,omitempty"`
	// lasting items are part of anti-entropy.
	lasting bool
	// sends is the number of messages that are still to carry the item.
	sends int
}

// size estimates the encoded size.
func (i *item) size() int { return len(i.Name) + len(i.Data) + 24 }

// expired reports whether the expiry has passed.
func (i *item) expired(now time.Time) bool {
	return i.Expiry != 0 && now.UnixMilli() >= i.Expiry
}
