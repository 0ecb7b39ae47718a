package checkpoint

import (
	"errors"
	"regexp"
	"time"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/rate"
)

const (
	methodSave = chestnutcleat.Method("checkpoint/save")
	methodLoad = chestnutcleat.Method("checkpoint/load")
)

// Report is what an entry VM has used at a time.
type Report struct {
	VM chestnutcleat.VMID `json:"vm"`
	// At is the time of day at the VM.
	At    time.Time  `json:"at"`
	Usage rate.Usage `json:"usage"`
}

// loadRequest asks for the last report of a VM.
type loadRequest struct {
	VM chestnutcleat.VMID `json:"vm"`
}

// saveReply acknowledges a report.
type saveReply struct{}

var (
	vmPattern    = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$`)
	errInvalidVM = errors.New("id of the VM is invalid")
)

// checkVM returns an error unless the id can be part of a file name.
func checkVM(id chestnutcleat.VMID) error {
	if !vmPattern.MatchString(string(id)) {
		return errInvalidVM
	}
	return nil
}
