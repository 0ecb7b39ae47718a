package node

import (
	"sync"

	"chestnutcleat.example/chestnutcleat/manifest"
)

// effective tells the callers' listener that a manifest is in effect.
type effective struct {
	once    sync.Once
	reached chan struct{}
}

// changed runs after a manifest or a key change came into effect.
func (n *Node) changed(v *manifest.View) {
	n.limits.Refresh()
	n.upstreams.refresh(v)
	if v.Manifest.Revision > 0 {
		n.effective.once.Do(func() { close(n.effective.reached) })
	}
}

// Effective is closed once a manifest is in effect on this VM.
func (n *Node) Effective() <-chan struct{} { return n.effective.reached }
