package chestnutcleat

// BeginRequest submits a call to the owner of its program.
type BeginRequest struct {
	ID   RequestID `json:"id"`
	Call Call      `json:"call"`
}
