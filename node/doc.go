// Package node assembles the control state of one VM (membership, leases, programs,
// customers, upstreams and the manifest) and sends requests to the owners on other VMs.
package node
