package chestnutcleat

// SettleReply tells whether the entry VM must make another attempt.
type SettleReply struct {
	Next BeginReply `json:"next"`
}
