package caller

import "chestnutcleat.example/chestnutcleat"

// Customer is a customer whose programs are run.
type Customer struct {
	ID  chestnutcleat.CustomerID
	Key string
	// Rate is in programs per second.
	Rate float64
	// Programs bounds the number of programs; zero means no bound.
	Programs int
	Model    chestnutcleat.ModelName
	// Tools are the plain services that programs call between turns.
	Tools []Tool
}

// Tool is a plain service that programs call.
type Tool struct {
	Route chestnutcleat.RouteName
	// Share is the probability that a turn calls the tool.
	Share float64
}
