package platform

import (
	"context"
	"time"

	"chestnutcleat.example/chestnutcleat"
)

// maxWait bounds a watch; a client asks again afterwards.
const maxWait = 30 * time.Second

// maxPage bounds the data of one answer to a watch in bytes.
const maxPage = 8 << 20

// Client is an in-memory connection to a store, for tests in virtual time; it shows the same faults as the HTTP handler.
type Client struct {
	Store *Store
	// Name is what the calls are counted under.
	Name string
}

// before counts a call and applies outage, rate limit and latency.
func (c *Client) before(ctx context.Context, k kind) error {
	f, err := c.Store.admit(c.Name, k)
	if err != nil {
		return err
	}
	if err := chestnutcleat.Sleep(ctx, time.Duration(f.Latency)); err != nil {
		return err
	}
	if c.Store.down() {
		return errOutage
	}
	return nil
}

// Get implements chestnutcleat.Platform.
func (c *Client) Get(ctx context.Context, name chestnutcleat.ObjectName) (chestnutcleat.Object, error) {
	if err := c.before(ctx, read); err != nil {
		return chestnutcleat.Object{}, err
	}
	return c.Store.get(name)
}

// Put implements chestnutcleat.Platform.
func (c *Client) Put(ctx context.Context, o chestnutcleat.Object) (chestnutcleat.Version, error) {
	if err := c.before(ctx, write); err != nil {
		return 0, err
	}
	v, err := c.Store.put(o, false)
	if c.Store.loses() {
		return 0, errLost
	}
	return v, err
}

// Delete implements chestnutcleat.Platform.
func (c *Client) Delete(ctx context.Context, name chestnutcleat.ObjectName, v chestnutcleat.Version) error {
	if err := c.before(ctx, write); err != nil {
		return err
	}
	err := c.Store.remove(name, v, false)
	if c.Store.loses() {
		return errLost
	}
	return err
}

// List implements chestnutcleat.Platform.
func (c *Client) List(ctx context.Context, prefix chestnutcleat.ObjectName) ([]chestnutcleat.Object, error) {
	if err := c.before(ctx, read); err != nil {
		return nil, err
	}
	list, _ := c.Store.since([]chestnutcleat.ObjectName{prefix}, 0)
	return list, nil
}

// Watch implements chestnutcleat.Platform.
func (c *Client) Watch(ctx context.Context, prefixes []chestnutcleat.ObjectName, after chestnutcleat.Version) ([]chestnutcleat.Object, error) {
	if err := c.before(ctx, watch); err != nil {
		return nil, err
	}
	return c.Store.await(ctx, prefixes, after, maxWait)
}

// VMs implements chestnutcleat.Platform.
func (c *Client) VMs(ctx context.Context) ([]chestnutcleat.ListedVM, error) {
	if err := c.before(ctx, read); err != nil {
		return nil, err
	}
	return c.Store.listVMs(), nil
}

// page cuts a list that is sorted by version, so that the next watch continues after it.
func page(list []chestnutcleat.Object) []chestnutcleat.Object {
	size := 0
	for i, o := range list {
		if size += len(o.Data); i > 0 && size > maxPage {
			return list[:i]
		}
	}
	return list
}

// await returns changes as soon as there are any; an outage ends it.
func (s *Store) await(ctx context.Context, prefixes []chestnutcleat.ObjectName, after chestnutcleat.Version, wait time.Duration) ([]chestnutcleat.Object, error) {
	t := time.NewTimer(wait)
	defer t.Stop()
	for {
		list, changed := s.since(prefixes, after)
		if s.down() {
			return nil, errOutage
		}
		if len(list) > 0 {
			return page(list), nil
		}
		select {
		case <-changed:
		case <-t.C:
			return list, nil
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}
