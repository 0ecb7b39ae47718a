// Package node joins the control state of one VM: membership, leases, programs,
// customers, upstreams and the manifest, and reaches the owners on other VMs.
package node
