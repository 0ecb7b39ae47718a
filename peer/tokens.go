package peer

import (
	"maps"
	"time"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/rate"
)

// requestLifetime is how long the answer to a token request is accepted; tokens expire earlier.
const requestLifetime = time.Second

// receiveGrant accepts granted tokens once; repeated and reordered datagrams are ignored.
func (f *Fleet) receiveGrant(g *TokenGrant) {
	if requested, ok := f.takeRequest(g); ok && f.OnGrant != nil {
		f.OnGrant(g.Tokens, requested)
	}
}

// takeRequest removes the request for a grant and returns when it was sent. It returns false if the grant must be ignored.
func (f *Fleet) takeRequest(g *TokenGrant) (time.Time, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	p := f.peers.byID[g.From]
	requested, pending := f.pendingRequests[g.Number]
	delete(f.pendingRequests, g.Number)
	return requested, pending && p != nil && g.To == f.incarnation && p.grants.accept(g.Incarnation, g.Sequence)
}

// RequestTokens requests tokens from a VM; after a lost datagram the next request makes up for it.
func (f *Fleet) RequestTokens(to chestnutcleat.VMID, t rate.Tokens) {
	a, ok := f.Address(to)
	if !ok {
		return
	}
	f.mu.Lock()
	now := time.Now()
	maps.DeleteFunc(f.pendingRequests, func(_ uint64, sent time.Time) bool { return now.Sub(sent) > requestLifetime })
	f.lastRequest++
	q := TokenRequest{From: f.Self.VM, Incarnation: f.incarnation, Number: f.lastRequest, Tokens: t}
	f.pendingRequests[q.Number] = now
	f.mu.Unlock()
	f.sendDatagram(message{Request: &q}, a)
}

// answerRequest grants tokens to the VM that requested them; if the datagram is lost, they are lost too.
func (f *Fleet) answerRequest(q *TokenRequest) {
	a, ok := f.Address(q.From)
	if !ok || f.GrantTokens == nil {
		return
	}
	t := f.GrantTokens(q.Tokens)
	if len(t) == 0 {
		return
	}
	f.mu.Lock()
	f.lastGrant++
	g := TokenGrant{From: f.Self.VM, Incarnation: f.incarnation, Sequence: f.lastGrant, To: q.Incarnation, Number: q.Number, Tokens: t}
	f.mu.Unlock()
	f.sendDatagram(message{Grant: &g}, a)
}
