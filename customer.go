package chestnutcleat

// Customer is a customer of the manifest.
type Customer struct {
	ID CustomerID `json:"id"`
	// Keys are the SHA-256 digests of the customer's keys.
	Keys []Digest `json:"keys"`
	// Rate is in requests per second over the whole fleet.
	Rate float64 `json:"rate"`
	// Burst is in requests over the whole fleet.
	Burst float64 `json:"burst"`
	// Weight is the share of the customer relative to others; zero means 1.
	Weight float64 `json:"weight,omitempty"`
}
