package rate

import (
	"slices"

	"chestnutcleat.example/chestnutcleat"
)

// Activity describes the programs of a customer that one or more VMs serve.
type Activity struct {
	// Programs holds the hashes of the programs in progress.
	Programs []uint32 `json:"programs,omitempty"`
	// Rate is the number of requests per second of these programs, including those refused for lack of tokens.
	Rate float64 `json:"rate,omitempty"`
	// Starts is the number of programs per second that ask to begin.
	Starts float64 `json:"starts,omitempty"`
	// Left is the number of tokens that the VMs have left.
	Left float64 `json:"left,omitempty"`
	// Scarce is set if the customer's tokens were short recently.
	Scarce bool `json:"scarce,omitempty"`
	// VMs is the number of VMs that report the customer.
	VMs int `json:"vms,omitempty"`
}

// sample is the key of the sampled programs of all customers in Activities.
const sample chestnutcleat.CustomerID = ""

// Activities holds the activity of each customer near its limit, and that of a sample of all programs.
type Activities map[chestnutcleat.CustomerID]Activity

// Add adds the activities that other VMs report.
func (s Activities) Add(other Activities) {
	for c, o := range other {
		a := s[c]
		a.Programs = slices.Concat(a.Programs, o.Programs)
		slices.Sort(a.Programs)
		a.Programs = slices.Compact(a.Programs)
		a.Rate += plausible(o.Rate)
		a.Starts += plausible(o.Starts)
		a.Left += plausible(o.Left)
		a.Scarce = a.Scarce || o.Scarce
		a.VMs += max(0, o.VMs)
		s[c] = a
	}
}

// maxPlausible bounds the numbers that other VMs report.
const maxPlausible = 1e9

// plausible returns a reported number, or zero for one that no VM can mean, such as one that is not a number.
func plausible(n float64) float64 {
	if n >= 0 && n <= maxPlausible {
		return n
	}
	return 0
}
