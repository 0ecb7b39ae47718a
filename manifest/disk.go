package manifest

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"time"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/event"
)

const (
	diskFile    = "manifest.json"
	diskTimeout = 30 * time.Second
)

// copyOnDisk is what a VM with a disk keeps.
type copyOnDisk struct {
	Root  Root     `json:"root"`
	Parts [][]byte `json:"parts"`
	Keys  []Key    `json:"keys"`
}

// save writes the current state to disk; while one write runs, later states wait for its end.
func (s *Store) save() {
	if s.Folder == "" {
		return
	}
	if s.saving {
		s.unsaved = true
		return
	}
	s.saving = true
	s.unsaved = false
	c := copyOnDisk{Root: s.root, Keys: s.Keys()}
	for _, d := range s.root.Parts {
		c.Parts = append(c.Parts, s.parts[d])
	}
	work := func(context.Context) (struct{}, error) { return struct{}{}, c.write(s.Folder) }
	chestnutcleat.Async(s.Loop, diskTimeout, work, func(_ struct{}, err error) {
		s.saving = false
		if err != nil {
			s.Observer.Emit(event.ManifestDisk, "folder", s.Folder, "error", err)
		}
		if s.unsaved {
			s.save()
		}
	})
}

// write replaces the file in one step, so that a crash leaves the old or the new copy.
func (c *copyOnDisk) write(folder string) error {
	data, err := json.Marshal(c)
	if err != nil {
		return err
	}
	f, err := os.CreateTemp(folder, diskFile+".*")
	if err != nil {
		return err
	}
	_, err = f.Write(data)
	err = errors.Join(err, f.Sync(), f.Close())
	if err == nil {
		err = os.Rename(f.Name(), filepath.Join(folder, diskFile))
	}
	if err != nil {
		return errors.Join(err, os.Remove(f.Name()))
	}
	return nil
}

// reload reads the copy on disk, whose parts must match the digests of its root.
func (s *Store) reload(done func()) {
	if s.Folder == "" {
		done()
		return
	}
	type result struct {
		loaded loaded
		keys   []Key
	}
	work := func(context.Context) (result, error) {
		c, err := readCopy(s.Folder)
		if err != nil {
			return result{}, err
		}
		r := result{keys: c.Keys}
		if c.Root.Revision == 0 {
			return r, nil
		}
		g := &gatherer{root: c.Root, have: map[chestnutcleat.Digest][]byte{}}
		for _, p := range c.Parts {
			g.keep(p)
		}
		if n := len(g.missing()); n > 0 {
			return r, fmt.Errorf("%d of %d parts on disk are damaged", n, len(c.Root.Parts))
		}
		r.loaded, err = load(c.Root, g.have)
		return r, err
	}
	chestnutcleat.Async(s.Loop, diskTimeout, work, func(r result, err error) {
		if err != nil {
			s.Observer.Emit(event.ManifestDisk, "folder", s.Folder, "error", err)
		}
		s.merge(r.keys, true)
		if r.loaded.view != nil {
			s.adopt(r.loaded)
		}
		done()
	})
}

func readCopy(folder string) (copyOnDisk, error) {
	var c copyOnDisk
	data, err := os.ReadFile(filepath.Join(folder, diskFile))
	if errors.Is(err, fs.ErrNotExist) {
		return c, nil
	}
	if err != nil {
		return c, err
	}
	return c, json.Unmarshal(data, &c)
}
