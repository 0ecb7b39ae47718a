package chestnutcleat

// Customer holds the keys, rate limit and share of one customer in the manifest.
type Customer struct {
	ID CustomerID `json:"id"`
	// Keys holds the SHA-256 digests of the customer's keys.
	Keys []Digest `json:"keys"`
	// Rate is the rate limit for the whole fleet in requests per second.
	Rate float64 `json:"rate"`
	// Burst is the burst limit for the whole fleet in requests.
	Burst float64 `json:"burst"`
	// Weight is the customer's fair share relative to other customers; zero means 1.
	Weight float64 `json:"weight,omitempty"`
}
