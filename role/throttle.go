package role

import (
	"sync"
	"time"
)

// throttle limits how often something is done, by key. The zero value is ready for use.
type throttle struct {
	mu   sync.Mutex
	last map[string]time.Time
}

// allow reports whether the interval has passed since it last allowed the key.
func (t *throttle) allow(key string, interval time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if time.Since(t.last[key]) < interval {
		return false
	}
	if t.last == nil {
		t.last = map[string]time.Time{}
	}
	t.last[key] = time.Now()
	return true
}
