package node

import (
	"sync"

	"chestnutcleat.example/chestnutcleat/manifest"
)

// manifestSignal tells the listener for callers that a manifest is in effect.
type manifestSignal struct {
	once    sync.Once
	reached chan struct{}
}

// onManifestChange runs after a manifest or a key change has taken effect.
func (n *Node) onManifestChange(v *manifest.View) {
	n.limits.Refresh()
	n.upstreams.refresh(v)
	if v.Manifest.Revision > 0 {
		n.manifestInEffect.once.Do(func() { close(n.manifestInEffect.reached) })
	}
}

// ManifestInEffect returns a channel that is closed when the first manifest takes effect on this VM.
func (n *Node) ManifestInEffect() <-chan struct{} { return n.manifestInEffect.reached }
