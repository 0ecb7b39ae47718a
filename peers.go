package chestnutcleat

import "context"

// Method names an RPC method between VMs.
type Method string

// RPC methods between VMs.
const (
	MethodProbe    Method = "probe"
	MethodRelay    Method = "relay"
	MethodRenew    Method = "renew"
	MethodAppend   Method = "append"
	MethodPromise  Method = "promise"
	MethodHandover Method = "handover"
	MethodTake     Method = "take"
	MethodBegin    Method = "begin"
	MethodStart    Method = "start"
	MethodSettle   Method = "settle"
	MethodAcquire  Method = "acquire"
	MethodRelease  Method = "release"
	MethodDrain    Method = "drain"
	MethodCancel   Method = "cancel"
	MethodEnd      Method = "end"
	MethodUsage    Method = "usage"
	MethodFetch    Method = "fetch"
	MethodOffer    Method = "offer"
	MethodProgram  Method = "program"
	MethodSuspect  Method = "suspect"
)

// Peers is the RPC client for other VMs.
type Peers interface {
	// Call sends a request to the VM at an address and decodes the response into reply.
	Call(ctx context.Context, address Address, method Method, request, reply any) error
}
