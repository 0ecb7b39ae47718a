package chestnutcleat

// EndRequest ends a program.
type EndRequest struct {
	Customer CustomerID `json:"customer"`
	Program  ProgramID  `json:"program"`
}
