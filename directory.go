package chestnutcleat

// Directory gives an entry VM read access to the manifest in effect and the membership.
type Directory interface {
	// Key returns the customer and the state of the key with digest d.
	Key(d Digest) (CustomerID, KeyState)
	// Customer returns a customer by its id.
	Customer(id CustomerID) (Customer, bool)
	// Route returns a route by its name.
	Route(name RouteName) (Route, bool)
	// Model returns the engine route that serves a model.
	Model(name ModelName) (Route, bool)
	// Upstream returns an upstream by its id.
	Upstream(id UpstreamID) (Upstream, bool)
	// VMs returns the VMs that accept calls; the order depends on the customer, so that customers spread over the VMs.
	VMs(c CustomerID) []VM
	// Limits returns the limits of programs.
	Limits() Limits
	// Subscribe calls f once when the key with digest d is withdrawn, unless unsubscribe is called before.
	Subscribe(d Digest, f func()) (unsubscribe func())
}
