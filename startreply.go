package chestnutcleat

// StartReply permits the entry VM to send the call, or refuses it with a problem.
type StartReply struct {
	Problem *Problem `json:"problem,omitempty"`
}
