package role

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/mirror"
	"chestnutcleat.example/chestnutcleat/peer"
)

// pathBeliefs is the path on the metrics address at which a VM tells what it takes for true.
const pathBeliefs = "/beliefs"

// Beliefs are what a VM takes for true, with the ages of it in seconds.
type Beliefs struct {
	VM     chestnutcleat.VMID          `json:"vm"`
	Role   string                      `json:"role"`
	Domain chestnutcleat.FailureDomain `json:"domain"`
	// Configuration is nil on storage VMs and before the first one is known.
	Configuration *ConfigurationBelief `json:"configuration,omitempty"`
	Kinds         []KindBelief         `json:"kinds"`
	// Copies is the set of copies of programs' records.
	Copies chestnutcleat.Copies `json:"copies"`
	Peers  []PeerBelief         `json:"peers"`
}

// ConfigurationBelief is the configuration in effect.
type ConfigurationBelief struct {
	Number    int64                 `json:"number"`
	Version   chestnutcleat.Version `json:"version"`
	Routes    int                   `json:"routes"`
	Customers int                   `json:"customers"`
}

// KindBelief is what the VM knows of one kind of the platform's objects.
type KindBelief struct {
	Kind    chestnutcleat.ObjectKind `json:"kind"`
	Version chestnutcleat.Version    `json:"version"`
	Objects int                      `json:"objects"`
	// Lapsed is the number of objects that the platform lost and that may come back.
	Lapsed int `json:"lapsed"`
	// Away is set while the platform does not answer.
	Away bool `json:"away"`
	// Age is the time since the platform or another VM told the state; -1 before the first time.
	Age float64 `json:"age"`
}

// PeerBelief is what the VM knows of another one.
type PeerBelief struct {
	VM chestnutcleat.VMID `json:"vm"`
	// Address is where other VMs reach it.
	Address chestnutcleat.Address `json:"address"`
	Silent  bool                  `json:"silent"`
	Leaving bool                  `json:"leaving"`
	Away    bool                  `json:"away"`
	// Age is the time since its last summary.
	Age float64 `json:"age"`
}

// beliefs collects what both roles know.
func (b *base) beliefs(copies chestnutcleat.Copies) Beliefs {
	return Beliefs{
		VM: b.self.VM, Role: b.self.Role, Domain: b.self.Domain, Copies: copies,
		Kinds: kindBeliefs(b.mirrors), Peers: peerBeliefs(b.fleet.Peers()),
	}
}

func kindBeliefs(mirrors map[chestnutcleat.ObjectKind]*mirror.Mirror) []KindBelief {
	list := make([]KindBelief, 0, len(mirrors))
	for k, m := range mirrors {
		s := m.Offered(0)
		age := m.Age().Seconds()
		if age < 0 {
			age = -1
		}
		list = append(list, KindBelief{Kind: k, Version: s.Version, Objects: len(s.Objects), Lapsed: len(s.Lapsed), Away: m.Away(), Age: age})
	}
	slices.SortFunc(list, func(a, b KindBelief) int { return strings.Compare(string(a.Kind), string(b.Kind)) })
	return list
}

func peerBeliefs(peers []peer.Peer) []PeerBelief {
	list := make([]PeerBelief, 0, len(peers))
	for i := range peers {
		p := &peers[i]
		list = append(list, PeerBelief{VM: p.VM, Address: p.Address, Silent: p.Silent(), Leaving: p.Leaving, Away: p.Away, Age: p.Quiet().Seconds()})
	}
	return list
}

// tellBeliefs answers with the beliefs in JSON.
func tellBeliefs(w http.ResponseWriter, b Beliefs) {
	w.Header().Set("Content-Type", "application/json")
	// An asker that left needs no answer.
	_ = json.NewEncoder(w).Encode(b)
}

// beliefsTimeout bounds the question for a VM's beliefs.
const beliefsTimeout = 5 * time.Second

// AskBeliefs asks a VM, by its metrics address, what it takes for true.
func AskBeliefs(ctx context.Context, a chestnutcleat.Address) (Beliefs, error) {
	ctx, cancel := context.WithTimeout(ctx, beliefsTimeout)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+string(a)+pathBeliefs, nil)
	if err != nil {
		return Beliefs{}, err
	}
	r, err := http.DefaultClient.Do(q)
	if err != nil {
		return Beliefs{}, err
	}
	defer r.Body.Close()
	if r.StatusCode != http.StatusOK {
		return Beliefs{}, fmt.Errorf("%s answers %s", a, r.Status)
	}
	var b Beliefs
	if err := json.NewDecoder(r.Body).Decode(&b); err != nil {
		return Beliefs{}, fmt.Errorf("beliefs of %s: %w", a, err)
	}
	return b, nil
}
