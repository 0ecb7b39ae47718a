package chestnutcleat

// BeginRequest presents a call to its program's owner.
type BeginRequest struct {
	ID   RequestID `json:"id"`
	Call Call      `json:"call"`
}
