package chestnutcleat

// CustomerID names a customer of the manifest.
type CustomerID string

// ProgramID names a program within its customer.
type ProgramID string

// CallID names a call within its program; the caller chooses it as the idempotency key.
type CallID string

// UpstreamID names an upstream of the manifest.
type UpstreamID string

// VMID names a VM.
type VMID string

// RouteName names a route of the manifest.
type RouteName string

// ModelName names a model as callers do in their requests.
type ModelName string

// FailureDomain names a set of VMs that may fail together.
type FailureDomain string

// Region names a set of failure domains with short network delay between them.
type Region string

// Address is an IP address and port.
type Address string

// TicketID names a ticket issued by the owner of an upstream.
type TicketID string

// RequestID identifies a request, so that the receiver recognizes a repetition.
type RequestID string

// ChangeID identifies one write to the platform, so that after a lost response a read shows whether it took effect.
type ChangeID string
