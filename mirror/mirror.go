package mirror

import (
	"math/rand/v2"
	"sync"
	"time"

	"chestnutcleat.example/chestnutcleat"
)

// Mirror replicates the objects of one kind.
type Mirror struct {
	Store chestnutcleat.ObjectStore
	Kind  chestnutcleat.ObjectKind
	// OnChange is called after each change, one call at a time; nil ignores changes.
	OnChange func(Snapshot)
	// OnPanic receives the panics of OnChange; nil ignores them.
	OnPanic func(error)
	// RetainAfterOutage keeps objects that vanished during a platform outage until outageRetention after the platform's return.
	RetainAfterOutage bool
	// OnDisconnect and OnReconnect report changes of the connection to the platform; nil ignores them.
	OnDisconnect func(error)
	OnReconnect  func()
	Rand         *rand.Rand
	// ShouldWatch reports whether this VM watches the platform; if not, it merges snapshots of other VMs. Nil means always.
	ShouldWatch func() bool
	// ShouldPoll reports whether this VM lists the kind periodically while it doesn't watch; nil means never.
	ShouldPoll func() bool
	// ProbeInterval returns the time between checks whether the platform is back, on a VM that doesn't watch and whose last
	// call failed.
	ProbeInterval func() time.Duration
	// ConfirmInterval is the usual time between fresh lists of the kind by any VM, which Confirm tells; zero if there are none.
	ConfirmInterval time.Duration

	mu      sync.Mutex
	objects map[string]chestnutcleat.StoredObject
	// retainedUntil holds the time until which an object that vanished during an outage is kept.
	retainedUntil map[string]time.Time
	// recentDeletions holds the deletions within the last massDeletionWindow.
	recentDeletions []deletion
	// tombstones holds the versions at which objects were removed; it is complete from version tombstonesSince on.
	tombstones      map[string]chestnutcleat.Version
	tombstonesSince chestnutcleat.Version
	// version is that of the last change seen, position the one from which the next watch continues.
	version, position chestnutcleat.Version
	unreachable       bool
	// lastFailure is the time of the last failed call.
	lastFailure time.Time
	// lastContact is the time of the last answer from the platform or another VM.
	lastContact time.Time
	// answers tells since when the platform has answered without an outage.
	answers availability
	// confirmedAt is when the platform last had nothing newer than the known state.
	confirmedAt time.Time
	// updateMu serializes updates together with their calls of OnReconnect and OnChange.
	updateMu sync.Mutex
}

// Version returns the version of the last change.
func (m *Mirror) Version() chestnutcleat.Version {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.version
}

// Age returns the time since the platform or another VM last confirmed the state; it is negative before the first time.
func (m *Mirror) Age() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.lastContact.IsZero() {
		return -1
	}
	return time.Since(m.lastContact)
}

// Unreachable reports whether the last call to the platform failed.
func (m *Mirror) Unreachable() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.unreachable
}
