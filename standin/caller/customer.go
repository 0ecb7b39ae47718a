package caller

import "chestnutcleat.example/chestnutcleat"

// Customer is a customer and the load that its programs generate.
type Customer struct {
	ID  chestnutcleat.CustomerID
	Key string
	// Rate is in programs per second.
	Rate float64
	// MaxPrograms is the maximum number of programs; zero means no limit.
	MaxPrograms int
	Model       chestnutcleat.ModelName
	// Tools are the plain services that programs may call between turns.
	Tools []Tool
}

// Tool is a plain service that programs call.
type Tool struct {
	Route chestnutcleat.RouteName
	// Probability is the probability that a program calls the tool after a turn.
	Probability float64
}
