package caller

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"chestnutcleat.example/chestnutcleat"
)

// VMList is the response body of GET /v1/vms.
type VMList struct {
	VMs []ListedVM `json:"vms"`
}

// ListedVM is a VM that callers may use, with its address.
type ListedVM struct {
	ID      chestnutcleat.VMID          `json:"id"`
	Address chestnutcleat.Address       `json:"address"`
	Domain  chestnutcleat.FailureDomain `json:"domain"`
}

// VMListMaxAge is how long callers may cache the list of VMs.
const VMListMaxAge = 5 * time.Second

// serveVMs lists the VMs that accept calls. It needs no key because callers of open routes have none.
func (h *Handler) serveVMs(w http.ResponseWriter, r *http.Request, who identity) *chestnutcleat.Problem {
	if r.Method != http.MethodGet {
		return methodNotAllowed(w, http.MethodGet)
	}
	list := VMList{VMs: []ListedVM{}}
	for _, v := range h.Directory.VMs(who.customer) {
		list.VMs = append(list.VMs, ListedVM{ID: v.ID, Address: v.CallerAddress, Domain: v.Domain})
	}
	w.Header().Set("Content-Type", typeJSON)
	w.Header().Set("Cache-Control", fmt.Sprintf("private, max-age=%d", int(VMListMaxAge.Seconds())))
	// A failed write means that the caller disconnected.
	_ = json.NewEncoder(w).Encode(list)
	return nil
}
