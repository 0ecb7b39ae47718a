package chestnutcleat

// Directory is the manifest in effect and the membership, as an entry VM reads them.
type Directory interface {
	// Key returns the customer and the state of the key with the given digest.
	Key(d Digest) (CustomerID, KeyState)
	// Customer returns a customer of the manifest.
	Customer(id CustomerID) (Customer, bool)
	// Route returns a route by its name.
	Route(name RouteName) (Route, bool)
	// Model returns the engine route of a model.
	Model(name ModelName) (Route, bool)
	// Upstream returns an upstream of the manifest.
	Upstream(id UpstreamID) (Upstream, bool)
	// VMs returns the VMs that take calls, in an order that spreads customers.
	VMs(c CustomerID) []VM
	// Limits returns the limits of programs.
	Limits() Limits
	// Subscribe calls f once when the key is withdrawn, until unsubscribe is called.
	Subscribe(d Digest, f func()) (unsubscribe func())
}
