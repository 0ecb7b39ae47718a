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
	diskFileName = "manifest.json"
	diskTimeout  = 30 * time.Second
)

// diskCopy is the content of the manifest file on disk.
type diskCopy struct {
	Root  Root     `json:"root"`
	Parts [][]byte `json:"parts"`
	Keys  []Key    `json:"keys"`
}

// save writes the current state to disk. If it changes during a write, it is written again afterwards.
func (s *Store) save() {
	if s.Folder == "" {
		return
	}
	if s.saving {
		s.saveAgain = true
		return
	}
	s.saving = true
	s.saveAgain = false
	c := diskCopy{Root: s.root, Keys: s.Keys()}
	for _, d := range s.root.Parts {
		c.Parts = append(c.Parts, s.parts[d])
	}
	work := func(context.Context) (struct{}, error) { return struct{}{}, c.write(s.Folder) }
	chestnutcleat.Async(s.Loop, diskTimeout, work, func(_ struct{}, err error) {
		s.saving = false
		if err != nil {
			s.Observer.Emit(event.ManifestDisk, "folder", s.Folder, "error", err)
		}
		if s.saveAgain {
			s.save()
		}
	})
}

// write replaces the file atomically, so that a crash leaves either the old or the new copy.
func (c *diskCopy) write(folder string) error {
	data, err := json.Marshal(c)
	if err != nil {
		return err
	}
	f, err := os.CreateTemp(folder, diskFileName+".*")
	if err != nil {
		return err
	}
	_, err = f.Write(data)
	err = errors.Join(err, f.Sync(), f.Close())
	if err == nil {
		err = os.Rename(f.Name(), filepath.Join(folder, diskFileName))
	}
	if err != nil {
		return errors.Join(err, os.Remove(f.Name()))
	}
	return nil
}

// loadDiskCopy reads the copy on disk and checks its parts against the digests in its root.
func (s *Store) loadDiskCopy(done func()) {
	if s.Folder == "" {
		done()
		return
	}
	type result struct {
		loaded loadedManifest
		keys   []Key
	}
	work := func(context.Context) (result, error) {
		c, err := readDiskCopy(s.Folder)
		if err != nil {
			return result{}, err
		}
		r := result{keys: c.Keys}
		if c.Root.Revision == 0 {
			return r, nil
		}
		f := &partFetcher{root: c.Root, parts: map[chestnutcleat.Digest][]byte{}}
		for _, p := range c.Parts {
			f.add(p)
		}
		if n := len(f.missing()); n > 0 {
			return r, fmt.Errorf("%d of %d parts on disk are damaged", n, len(c.Root.Parts))
		}
		r.loaded, err = load(c.Root, f.parts)
		return r, err
	}
	chestnutcleat.Async(s.Loop, diskTimeout, work, func(r result, err error) {
		if err != nil {
			s.Observer.Emit(event.ManifestDisk, "folder", s.Folder, "error", err)
		}
		s.mergeKeys(r.keys, true)
		if r.loaded.view != nil {
			s.activate(r.loaded)
		}
		done()
	})
}

func readDiskCopy(folder string) (diskCopy, error) {
	var c diskCopy
	data, err := os.ReadFile(filepath.Join(folder, diskFileName))
	if errors.Is(err, fs.ErrNotExist) {
		return c, nil
	}
	if err != nil {
		return c, err
	}
	return c, json.Unmarshal(data, &c)
}
