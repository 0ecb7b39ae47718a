package role

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"time"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/mirror"
	"chestnutcleat.example/chestnutcleat/peer"
)

// statusPath is the path of the status on the metrics address.
const statusPath = "/beliefs"

// Status is the state of the system as one VM knows it; ages are in seconds.
type Status struct {
	VM     chestnutcleat.VMID          `json:"vm"`
	Role   string                      `json:"role"`
	Domain chestnutcleat.FailureDomain `json:"domain"`
	// Configuration is nil on storage VMs and until the first configuration is known.
	Configuration *ConfigStatus `json:"configuration,omitempty"`
	Kinds         []KindStatus  `json:"kinds"`
	// ReplicaSet is the replica set of the programs' records.
	ReplicaSet chestnutcleat.ReplicaSet `json:"copies"`
	Peers      []PeerStatus             `json:"peers"`
}

// ConfigStatus describes the configuration in effect.
type ConfigStatus struct {
	Number    int64                 `json:"number"`
	Version   chestnutcleat.Version `json:"version"`
	Routes    int                   `json:"routes"`
	Customers int                   `json:"customers"`
}

// KindStatus describes the VM's replica of one kind of objects.
type KindStatus struct {
	Kind    chestnutcleat.ObjectKind `json:"kind"`
	Version chestnutcleat.Version    `json:"version"`
	Objects int                      `json:"objects"`
	// Retained is the number of objects that are retained although the platform lost them.
	Retained int `json:"lapsed"`
	// PlatformUnreachable is set while the platform is unreachable.
	PlatformUnreachable bool `json:"away"`
	// Age is the time since the platform or another VM last confirmed the state; -1 before the first time.
	Age float64 `json:"age"`
}

// PeerStatus is what the VM knows of another VM.
type PeerStatus struct {
	VM chestnutcleat.VMID `json:"vm"`
	// Address is the address for messages between VMs.
	Address             chestnutcleat.Address `json:"address"`
	Silent              bool                  `json:"silent"`
	Leaving             bool                  `json:"leaving"`
	PlatformUnreachable bool                  `json:"away"`
	// Age is the time since the peer's last summary.
	Age float64 `json:"age"`
}

// collectStatus returns the part of the status that both roles share.
func (b *base) collectStatus(set chestnutcleat.ReplicaSet) Status {
	return Status{
		VM: b.self.VM, Role: b.self.Role, Domain: b.self.Domain, ReplicaSet: set,
		Kinds: kindStatuses(b.mirrors), Peers: peerStatuses(b.fleet.Peers()),
	}
}

func kindStatuses(mirrors map[chestnutcleat.ObjectKind]*mirror.Mirror) []KindStatus {
	list := make([]KindStatus, 0, len(mirrors))
	for k, m := range mirrors {
		s := m.SnapshotSince(0)
		age := m.Age().Seconds()
		if age < 0 {
			age = -1
		}
		list = append(list, KindStatus{Kind: k, Version: s.Version, Objects: len(s.Objects), Retained: len(s.Retained), PlatformUnreachable: m.Unreachable(), Age: age})
	}
	slices.SortFunc(list, func(a, b KindStatus) int { return strings.Compare(string(a.Kind), string(b.Kind)) })
	return list
}

func peerStatuses(peers []peer.Peer) []PeerStatus {
	list := make([]PeerStatus, 0, len(peers))
	for i := range peers {
		p := &peers[i]
		list = append(list, PeerStatus{VM: p.VM, Address: p.Address, Silent: p.Silent(), Leaving: p.Leaving, PlatformUnreachable: p.PlatformUnreachable, Age: p.SilentFor().Seconds()})
	}
	return list
}

// writeStatus answers a request with the status as JSON.
func writeStatus(w http.ResponseWriter, s Status) {
	w.Header().Set("Content-Type", "application/json")
	// A write error means that the client disconnected.
	_ = json.NewEncoder(w).Encode(s)
}

const (
	// statusTimeout bounds a status request, and maxStatusBytes the body of its answer.
	statusTimeout  = 5 * time.Second
	maxStatusBytes = 16 << 20
)

// FetchStatus requests the status of a VM from its metrics address.
func FetchStatus(ctx context.Context, a chestnutcleat.Address) (Status, error) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+string(a)+statusPath, nil)
	if err != nil {
		return Status{}, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return Status{}, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return Status{}, fmt.Errorf("%s answers %s", a, resp.Status)
	}
	var s Status
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxStatusBytes)).Decode(&s); err != nil {
		return Status{}, fmt.Errorf("status of %s: %w", a, err)
	}
	return s, nil
}
