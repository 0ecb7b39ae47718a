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
	// addressTTL is how long a fetched list of VMs is used.
	addressTTL       = 5 * time.Second
	maxDocumentBytes = 4 << 20
)

// addresses is a customer's cached list of VMs.
type addresses struct {
	http  *http.Client
	key   string
	seeds []chestnutcleat.Address

	// lock guards list and fetched, also during a fetch. It is a channel because the fake clock of
	// testing/synctest stops while a goroutine waits for a mutex.
	lock    chan struct{}
	list    []chestnutcleat.Address
	fetched time.Time
}

func newAddresses(h *http.Client, key string, seeds []chestnutcleat.Address) *addresses {
	return &addresses{http: h, key: key, seeds: seeds, lock: make(chan struct{}, 1)}
}

// current returns the VMs that callers may use. When no VM answers, it returns the last known list.
func (a *addresses) current(ctx context.Context) []chestnutcleat.Address {
	a.lock <- struct{}{}
	defer func() { <-a.lock }()
	if len(a.list) > 0 && time.Since(a.fetched) < addressTTL {
		return a.list
	}
	for _, from := range append(append([]chestnutcleat.Address(nil), a.list...), a.seeds...) {
		list, err := a.fetch(ctx, from)
		if err == nil && len(list) > 0 {
			a.list = list
			a.fetched = time.Now()
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
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+string(from)+"/v1/vms", nil)
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+a.key)
	resp, err := a.http.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("list of VMs: status %d", resp.StatusCode)
	}
	var doc struct {
		VMs []struct {
			Address chestnutcleat.Address `json:"address"`
		} `json:"vms"`
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxDocumentBytes)).Decode(&doc); err != nil {
		return nil, fmt.Errorf("list of VMs: %w", err)
	}
	var list []chestnutcleat.Address
	for _, v := range doc.VMs {
		list = append(list, v.Address)
	}
	return list, nil
}
