package chestnutcleat

import (
	"context"
	"errors"
	"time"
)

// ErrCompacted is returned by ObjectStore.Watch if the changes after the given version are no longer available.
var ErrCompacted = errors.New("change history was compacted")

// ObjectKind names a kind of objects in an ObjectStore.
type ObjectKind string

// StoredObject is an object of an ObjectStore.
type StoredObject struct {
	Name string `json:"name"`
	// Version is the version of the last change; writing with version zero creates the object. A listed object has version zero if
	// its version can't be read.
	Version Version `json:"version"`
	// Data is the JSON of the object.
	Data    []byte `json:"data,omitempty"`
	Deleted bool   `json:"deleted,omitempty"`
	// Unreadable says why the object can't be read; it then has no Data.
	Unreadable string `json:"unreadable,omitempty"`
}

// Err returns an error if the object can't be read.
func (o *StoredObject) Err() error {
	if o.Unreadable == "" {
		return nil
	}
	return errors.New(o.Unreadable)
}

// Freshness is the consistency level of a list.
type Freshness int

const (
	// Fresh lists include every write that was acknowledged before the call.
	Fresh Freshness = iota
	// Stale lists may be seconds older than the version that comes with them; they cost the platform a tenth of a fresh list. They have all
	// changes up to that version or up to their newest object, whichever is older.
	Stale
)

// NewestVersion returns the version up to which a page of a stale list has all changes: that of its newest object, as the version that comes
// with the page may be newer than its objects. A page without objects has the oldest version, which still counts as known.
func NewestVersion(list []StoredObject) Version {
	newest := Version(1)
	for i := range list {
		newest = max(newest, list[i].Version)
	}
	return newest
}

// ObjectStore is the platform's store of objects by kind and name.
type ObjectStore interface {
	// List returns all objects of a kind and the version of the list.
	List(ctx context.Context, k ObjectKind, f Freshness) ([]StoredObject, Version, error)
	// Watch waits up to wait for changes after a version; it returns them with the version to continue from.
	Watch(ctx context.Context, k ObjectKind, after Version, wait time.Duration) ([]StoredObject, Version, error)
	// Write creates or replaces an object if its version is still o.Version, otherwise it returns ErrConflict.
	// Any other error leaves the outcome unknown.
	Write(ctx context.Context, k ObjectKind, o StoredObject) (Version, error)
	// SetStatus replaces the status of an object that operators maintain.
	SetStatus(ctx context.Context, k ObjectKind, name string, status []byte) error
	// Remove deletes an object if its version is still v.
	Remove(ctx context.Context, k ObjectKind, name string, v Version) error
}
