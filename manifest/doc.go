// Package manifest keeps a VM's copy of the manifest and of the API keys. It validates changes, commits them to the
// platform, replicates them between VMs, stores a copy on disk and writes the audit trail.
package manifest
