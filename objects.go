package chestnutcleat

import (
	"context"
	"errors"
	"time"
)

// ErrCompacted reports that the platform no longer has the history that a watch asks for.
var ErrCompacted = errors.New("history is gone")

// ObjectKind names a kind of objects at the platform.
type ObjectKind string

// Stored is an object at the platform.
type Stored struct {
	Name string `json:"name"`
	// Version is that of the last change; zero creates the object.
	Version Version `json:"version"`
	// Data is the object's JSON.
	Data    []byte `json:"data,omitempty"`
	Deleted bool   `json:"deleted,omitempty"`
}

// Freshness tells how old a list may be.
type Freshness int

const (
	// Fresh lists show all that was acknowledged before the call.
	Fresh Freshness = iota
	// Stale lists may be seconds old; they cost the platform a tenth.
	Stale
)

// ObjectStore is the platform's store of objects by kind and name.
type ObjectStore interface {
	// List returns all objects of a kind and the version of the list.
	List(ctx context.Context, k ObjectKind, f Freshness) ([]Stored, Version, error)
	// Watch waits up to wait for changes after a version and returns them with the version to go on from.
	Watch(ctx context.Context, k ObjectKind, after Version, wait time.Duration) ([]Stored, Version, error)
	// Write creates or replaces an object if its version is still o.Version, else it returns ErrConflict.
	// Any other error leaves the outcome unknown.
	Write(ctx context.Context, k ObjectKind, o Stored) (Version, error)
	// SetStatus replaces the status of an object that belongs to the operators.
	SetStatus(ctx context.Context, k ObjectKind, name string, status []byte) error
	// Remove deletes an object if its version is still the given one.
	Remove(ctx context.Context, k ObjectKind, name string, v Version) error
}
