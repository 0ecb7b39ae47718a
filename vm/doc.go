// Package vm implements RPC between VMs: DRPC with CBOR over TCP, and an
// in-memory network with faults for tests.
package vm
