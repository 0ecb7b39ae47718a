package chestnutcleat

// EngineState is what an engine has loaded.
type EngineState struct {
	Models []ModelName `json:"models"`
	Role   string      `json:"role,omitempty"`
	Fence  Epoch       `json:"fence"`
	Pins   []Pin       `json:"pins,omitempty"`
}
