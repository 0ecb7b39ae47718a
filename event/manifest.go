package event

// Events of the manifest, the keys and the audit trail.
var (
	ManifestInEffect   = add(301, Info, "manifest in effect", "")
	ManifestAccepted   = add(302, Info, "manifest accepted", "")
	ManifestRejected   = add(303, Warning, "manifest rejected", "Correct the fields that the answer names.")
	ManifestConflict   = add(304, Warning, "manifest is based on an older revision", "Repeat the change on the current revision.")
	ManifestUnresolved = add(305, Error, "outcome of a manifest change is unknown", "Apply again with the same change id once the platform answers.")
	ManifestIncomplete = add(306, Warning, "parts of a manifest could not be fetched", "Check the platform and the network to other VMs; the fetch is repeated.")
	ManifestInvalid    = add(307, Error, "object of the manifest cannot be read", "Check who else writes to the platform's manifest/ and keys/ objects.")
	ManifestDisk       = add(308, Warning, "manifest copy on disk cannot be read or written", "Check the data folder.")
	KeyGiven           = add(311, Info, "key given", "")
	KeyWithdrawn       = add(312, Info, "key withdrawn", "")
	WritesDelayed      = add(321, Warning, "audit records and key changes wait for the platform", "Check the platform.")
	WritesResumed      = add(322, Info, "delayed audit records and key changes are written", "")
	AuditDropped       = add(323, Error, "audit record dropped, as too many wait for the platform", "Check the platform.")
	PlatformWatch      = add(331, Warning, "watch on the platform failed", "Check the platform if it repeats; owners go on without it.")
)
