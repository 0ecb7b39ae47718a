package checkpoint

import (
	"context"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"sync"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/vm"
)

// maxVMs bounds the VMs whose reports a storage VM keeps.
const maxVMs = 1024

// Store keeps the last report of each VM in a file of its own. Files are not synced, as a report is of use for seconds only: they
// outlast the process but not a loss of power.
type Store struct {
	// Folder holds the files; it is created when it is first needed.
	Folder string

	mu   sync.Mutex
	last map[chestnutcleat.VMID]Report
}

// Register registers the store's methods.
func (s *Store) Register(m *vm.Mux) {
	vm.Handle(m, methodSave, s.save)
	vm.Handle(m, methodLoad, s.load)
}

func (s *Store) path(id chestnutcleat.VMID) string { return filepath.Join(s.Folder, string(id)) }

// save keeps a report unless it is older than the last one.
func (s *Store) save(_ context.Context, r Report) (saveReply, error) {
	if err := checkVM(r.VM); err != nil {
		return saveReply{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.last == nil {
		s.last = map[chestnutcleat.VMID]Report{}
	}
	known, ok := s.last[r.VM]
	switch {
	case ok && r.At.Before(known.At):
		return saveReply{}, nil
	case !ok && len(s.last) >= maxVMs:
		return saveReply{}, fmt.Errorf("reports of %d VMs are kept already", maxVMs)
	}
	s.last[r.VM] = r
	return saveReply{}, s.write(r)
}

// write replaces the file of a VM. The caller holds s.mu.
func (s *Store) write(r Report) error {
	data, err := vm.Encoding{}.Marshal(r)
	if err != nil {
		return err
	}
	if err := os.MkdirAll(s.Folder, 0o700); err != nil {
		return err
	}
	return ReplaceFile(s.path(r.VM), data)
}

// ReplaceFile replaces a file as a whole, without syncing it: after the end of the process it has the old data or the new.
func ReplaceFile(path string, data []byte) error {
	temporary := path + "~"
	if err := os.WriteFile(temporary, data, 0o600); err != nil {
		return err
	}
	return os.Rename(temporary, path)
}

// load returns the last report of a VM, or an empty one without a VM if there is none.
func (s *Store) load(_ context.Context, q loadRequest) (Report, error) {
	if err := checkVM(q.VM); err != nil {
		return Report{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if r, ok := s.last[q.VM]; ok {
		return r, nil
	}
	data, err := os.ReadFile(s.path(q.VM))
	if errors.Is(err, fs.ErrNotExist) {
		return Report{}, nil
	}
	if err != nil {
		return Report{}, err
	}
	var r Report
	if err := (vm.Encoding{}).Unmarshal(data, &r); err != nil {
		return Report{}, err
	}
	return r, nil
}
