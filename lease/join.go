package lease

import "chestnutcleat.example/chestnutcleat"

// MethodJoin is sent by a joining VM to the only VM of a fleet.
const MethodJoin chestnutcleat.Method = "join"

// JoinRequest asks the only VM of a fleet to add another one.
type JoinRequest struct {
	Member Member `json:"member"`
}

// JoinReply reports whether the VM was added.
type JoinReply struct {
	Joined bool `json:"joined"`
}
