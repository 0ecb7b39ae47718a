// Package vm carries messages between VMs: drpc with CBOR over TCP, and in
// memory with faults for tests.
package vm
