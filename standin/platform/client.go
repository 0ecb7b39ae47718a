package platform

import (
	"context"
	"time"

	"chestnutcleat.example/chestnutcleat"
)

// maxWatchWait is the maximum duration of a watch; clients then start another one.
const maxWatchWait = 30 * time.Second

// maxPageBytes limits the data in one response to a watch.
const maxPageBytes = 8 << 20

// Client calls a store in memory, for tests with a fake clock. It applies the same faults as the HTTP handler.
type Client struct {
	Store *Store
	// Name is the client name under which calls are counted.
	Name string
}

// beginCall counts a call and applies the rate limit, latency and outage.
func (c *Client) beginCall(ctx context.Context, k callKind) error {
	f, err := c.Store.admit(c.Name, k)
	if err != nil {
		return err
	}
	if err := chestnutcleat.Sleep(ctx, time.Duration(f.Latency)); err != nil {
		return err
	}
	if c.Store.inOutage() {
		return errOutage
	}
	return nil
}

// Get implements chestnutcleat.Platform.
func (c *Client) Get(ctx context.Context, name chestnutcleat.ObjectName) (chestnutcleat.Object, error) {
	if err := c.beginCall(ctx, readCall); err != nil {
		return chestnutcleat.Object{}, err
	}
	return c.Store.get(name)
}

// Put implements chestnutcleat.Platform.
func (c *Client) Put(ctx context.Context, o chestnutcleat.Object) (chestnutcleat.Version, error) {
	if err := c.beginCall(ctx, writeCall); err != nil {
		return 0, err
	}
	v, err := c.Store.put(o, false)
	if c.Store.losesResponse() {
		return 0, errResponseLost
	}
	return v, err
}

// Delete implements chestnutcleat.Platform.
func (c *Client) Delete(ctx context.Context, name chestnutcleat.ObjectName, v chestnutcleat.Version) error {
	if err := c.beginCall(ctx, writeCall); err != nil {
		return err
	}
	err := c.Store.remove(name, v, false)
	if c.Store.losesResponse() {
		return errResponseLost
	}
	return err
}

// List implements chestnutcleat.Platform.
func (c *Client) List(ctx context.Context, prefix chestnutcleat.ObjectName) ([]chestnutcleat.Object, error) {
	if err := c.beginCall(ctx, readCall); err != nil {
		return nil, err
	}
	list, _ := c.Store.changedSince([]chestnutcleat.ObjectName{prefix}, 0)
	return list, nil
}

// Watch implements chestnutcleat.Platform.
func (c *Client) Watch(ctx context.Context, prefixes []chestnutcleat.ObjectName, after chestnutcleat.Version) ([]chestnutcleat.Object, error) {
	if err := c.beginCall(ctx, watchCall); err != nil {
		return nil, err
	}
	return c.Store.waitForChanges(ctx, prefixes, after, maxWatchWait)
}

// VMs implements chestnutcleat.Platform.
func (c *Client) VMs(ctx context.Context) ([]chestnutcleat.ListedVM, error) {
	if err := c.beginCall(ctx, readCall); err != nil {
		return nil, err
	}
	return c.Store.listVMs(), nil
}

// firstPage returns the first objects of a list, up to maxPageBytes but at least one. The list is sorted by version, so that
// the next watch continues after the page.
func firstPage(list []chestnutcleat.Object) []chestnutcleat.Object {
	size := 0
	for i, o := range list {
		if size += len(o.Data); i > 0 && size > maxPageBytes {
			return list[:i]
		}
	}
	return list
}

// waitForChanges returns the changes after a version as soon as there are any, and an error if an outage begins.
func (s *Store) waitForChanges(ctx context.Context, prefixes []chestnutcleat.ObjectName, after chestnutcleat.Version, wait time.Duration) ([]chestnutcleat.Object, error) {
	t := time.NewTimer(wait)
	defer t.Stop()
	for {
		list, changed := s.changedSince(prefixes, after)
		if s.inOutage() {
			return nil, errOutage
		}
		if len(list) > 0 {
			return firstPage(list), nil
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
