package caller

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"chestnutcleat.example/chestnutcleat"
)

const (
	// addressAge is how long callers use a list of VMs before they ask again.
	addressAge  = 5 * time.Second
	maxDocument = 4 << 20
)

// addresses is a customer's cached list of VMs.
type addresses struct {
	http  *http.Client
	key   string
	seeds []chestnutcleat.Address

	// turn is held while the list is fetched. It is a channel and not a mutex, as virtual time
	// stands still while a goroutine waits for a mutex.
	turn chan struct{}
	list []chestnutcleat.Address
	at   time.Time
}

func newAddresses(h *http.Client, key string, seeds []chestnutcleat.Address) *addresses {
	return &addresses{http: h, key: key, seeds: seeds, turn: make(chan struct{}, 1)}
}

// all returns the VMs that callers may use; the known list stands when no VM answers.
func (a *addresses) all(ctx context.Context) []chestnutcleat.Address {
	a.turn <- struct{}{}
	defer func() { <-a.turn }()
	if len(a.list) > 0 && time.Since(a.at) < addressAge {
		return a.list
	}
	for _, from := range append(append([]chestnutcleat.Address(nil), a.list...), a.seeds...) {
		list, err := a.fetch(ctx, from)
		if err == nil && len(list) > 0 {
			a.list = list
			a.at = time.Now()
			return list
		}
	}
	if len(a.list) == 0 {
		return a.seeds
	}
	return a.list
}

func (a *addresses) fetch(ctx context.Context, from chestnutcleat.Address) ([]chestnutcleat.Address, error) {
	ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+string(from)+"/v1/vms", nil)
	if err != nil {
		return nil, err
	}
	r.Header.Set("Authorization", "Bearer "+a.key)
	p, err := a.http.Do(r)
	if err != nil {
		return nil, err
	}
	defer p.Body.Close()
	if p.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("list of VMs: status %d", p.StatusCode)
	}
	var doc struct {
		VMs []struct {
			Address chestnutcleat.Address `json:"address"`
		} `json:"vms"`
	}
	if err := json.NewDecoder(io.LimitReader(p.Body, maxDocument)).Decode(&doc); err != nil {
		return nil, fmt.Errorf("list of VMs: %w", err)
	}
	var list []chestnutcleat.Address
	for _, v := range doc.VMs {
		list = append(list, v.Address)
	}
	return list, nil
}
