package chestnutcleat

import (
	"context"
	"errors"
)

// Errors of the platform.
var (
	// ErrConflict reports that an object's version is not the expected one.
	ErrConflict = errors.New("object version conflict")
	// ErrNotFound reports that an object does not exist.
	ErrNotFound = errors.New("object not found")
	// ErrTooLarge reports that a value is above MaxObjectBytes.
	ErrTooLarge = errors.New("object is too large")
)

// MaxObjectBytes is the largest value that the platform holds.
const MaxObjectBytes = 1 << 20

// Platform is the platform's object API.
type Platform interface {
	// Get returns an object or ErrNotFound.
	Get(ctx context.Context, name ObjectName) (Object, error)
	// Put writes an object if its version is still o.Version, else it returns ErrConflict.
	// Version 0 creates the object. Any other error leaves the outcome unknown.
	Put(ctx context.Context, o Object) (Version, error)
	// Delete removes an object if its version is still the given one.
	Delete(ctx context.Context, name ObjectName, v Version) error
	// List returns the objects whose names start with prefix.
	List(ctx context.Context, prefix ObjectName) ([]Object, error)
	// Watch waits for objects under one of the prefixes that changed after version after.
	// Versions are fleet-wide, so one watch covers several prefixes.
	Watch(ctx context.Context, prefixes []ObjectName, after Version) ([]Object, error)
	// VMs returns the platform's lagging list of VMs.
	VMs(ctx context.Context) ([]ListedVM, error)
}
