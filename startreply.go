package chestnutcleat

// StartReply allows the dispatch or refuses it.
type StartReply struct {
	Problem *Problem `json:"problem,omitempty"`
}
