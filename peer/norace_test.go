//go:build !race

package peer

// fleetSizes are the sizes of the fleets in tests.
var fleetSizes = []int{7, 30, 100, 300}

// levelFleetSizes are the sizes of the fleets whose messages are compared.
var levelFleetSizes = []int{7, 24, 60, 250}
