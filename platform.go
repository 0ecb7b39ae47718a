package chestnutcleat

import (
	"context"
	"errors"
)

// Errors of Platform and ObjectStore.
var (
	// ErrConflict reports that an object does not have the expected version.
	ErrConflict = errors.New("object version conflict")
	// ErrNotFound reports that an object does not exist.
	ErrNotFound = errors.New("object not found")
	// ErrTooLarge reports that an object's data exceeds MaxObjectBytes.
	ErrTooLarge = errors.New("object is too large")
)

// MaxObjectBytes is the largest size of an object's data that the platform accepts.
const MaxObjectBytes = 1 << 20

// Platform is the object API of the platform that the fleet runs on.
type Platform interface {
	// Get returns an object or ErrNotFound.
	Get(ctx context.Context, name ObjectName) (Object, error)
	// Put writes an object if its version is still o.Version, otherwise it returns ErrConflict.
	// Version 0 creates the object. Any other error leaves the outcome unknown.
	Put(ctx context.Context, o Object) (Version, error)
	// Delete removes an object if its version is still v.
	Delete(ctx context.Context, name ObjectName, v Version) error
	// List returns the objects whose names start with prefix.
	List(ctx context.Context, prefix ObjectName) ([]Object, error)
	// Watch waits for changes after a version to objects whose names start with one of the prefixes.
	// All objects share one version counter, so one watch covers several prefixes.
	Watch(ctx context.Context, prefixes []ObjectName, after Version) ([]Object, error)
	// VMs returns the platform's list of VMs, which lags behind the actual state.
	VMs(ctx context.Context) ([]ListedVM, error)
}
