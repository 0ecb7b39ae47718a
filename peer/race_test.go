//go:build race

package peer

// fleetSizes are the sizes of the fleets in tests. They are smaller with the race detector, which takes ten times as long.
var fleetSizes = []int{7, 30, 100}

// levelFleetSizes are the sizes of the fleets whose messages are compared.
var levelFleetSizes = []int{7, 24}
