// Package mirror keeps a local replica of the platform's objects and synchronizes it with other VMs, also while the platform is
// unreachable.
package mirror
