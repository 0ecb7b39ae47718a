// Package manifest keeps the manifest and the keys of a VM: validation, acceptance at the platform,
// spreading between VMs, the copy on disk, and the audit trail.
package manifest
