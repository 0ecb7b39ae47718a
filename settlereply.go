package chestnutcleat

// SettleReply tells the entry VM whether to make another attempt.
type SettleReply struct {
	Next BeginReply `json:"next"`
}
