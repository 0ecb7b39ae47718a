package chestnutcleat

// CustomerID names a customer of the manifest.
type CustomerID string

// ProgramID names a program within its customer.
type ProgramID string

// CallID names a call within its program; the caller chooses it as idempotency key.
type CallID string

// UpstreamID names an upstream of the manifest.
type UpstreamID string

// VMID names a VM.
type VMID string

// RouteName names a route of the manifest.
type RouteName string

// ModelName names a model as callers write it.
type ModelName string

// FailureDomain names a set of VMs that may fail together.
type FailureDomain string

// Region names a set of failure domains with short network delay between them.
type Region string

// Address is an IP address and port.
type Address string

// TicketID names a dispatch ticket of an upstream's owner.
type TicketID string

// RequestID makes a repeated request between VMs idempotent.
type RequestID string

// ChangeID identifies one write to the platform, so that a lost answer can be settled by reading back.
type ChangeID string
