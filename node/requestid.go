package node

import (
	"fmt"

	"chestnutcleat.example/chestnutcleat"
)

func requestID(v chestnutcleat.VMID, count uint64) chestnutcleat.RequestID {
	return chestnutcleat.RequestID(fmt.Sprintf("%s-%x", v, count))
}
