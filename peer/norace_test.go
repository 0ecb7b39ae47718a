//go:build !race

package peer

// fleetSizes are the sizes of the fleets in tests.
var fleetSizes = []int{7, 30, 100, 300}
