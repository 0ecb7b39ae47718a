//go:build !race

package peer

// fleetSizes are the fleets that the state of VMs is measured on.
var fleetSizes = []int{7, 30, 100, 300}
