package manifest

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"time"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/event"
)

const (
	// maxQueued bounds the queue of the outbox; audit records beyond it are dropped.
	maxQueued = 10_000

	auditPrefix chestnutcleat.ObjectName = "audit/"
	// auditTimeLayout has a fixed width, so that audit records sort by time in the order of their names.
	auditTimeLayout = "2006-01-02T15:04:05.000000000Z"
)

// Result is the outcome of a change.
type Result string

// Results of a change.
const (
	ResultAccepted Result = "accepted"
	ResultRejected Result = "rejected"
	ResultConflict Result = "conflict"
	ResultUnknown  Result = "unknown"
)

// Record is an entry of the audit trail, which is append-only.
type Record struct {
	Time     time.Time              `json:"time"`
	VM       chestnutcleat.VMID     `json:"vm"`
	Who      string                 `json:"who"`
	What     string                 `json:"what"`
	Revision chestnutcleat.Revision `json:"revision,omitempty"`
	Result   Result                 `json:"result"`
	Change   chestnutcleat.ChangeID `json:"change"`
}

// ResultOf returns the audit result for the error of a change.
func ResultOf(err error) Result {
	var conflict *ConflictError
	var unknown *UnresolvedError
	switch {
	case err == nil:
		return ResultAccepted
	case errors.As(err, &conflict):
		return ResultConflict
	case errors.As(err, &unknown):
		return ResultUnknown
	}
	return ResultRejected
}

// Record adds an operator's action, such as draining a VM, to the audit trail.
func (s *Store) Record(who, what string, result Result) {
	s.record(Record{Who: who, What: what, Result: result, Change: s.newChangeID()})
}

func (s *Store) record(r Record) {
	r.Time = time.Now().UTC()
	r.VM = s.VM
	data, err := json.Marshal(r)
	if err != nil {
		return
	}
	name := auditPrefix + chestnutcleat.ObjectName(fmt.Sprintf("%s-%s-%s", r.Time.Format(auditTimeLayout), r.Change, r.Result))
	if len(s.outbox.queue) >= maxQueued {
		s.Observer.Emit(event.AuditDropped, "who", r.Who, "what", r.What, "change", r.Change)
		return
	}
	s.outbox.add(chestnutcleat.Object{Name: name, Data: data})
}

// ReadAudit returns the audit records whose time starts with a prefix such as "2026-05", oldest first.
// It calls the platform and must not run in the control goroutine.
func ReadAudit(ctx context.Context, p chestnutcleat.Platform, prefix string) ([]Record, error) {
	objects, err := p.List(ctx, auditPrefix+chestnutcleat.ObjectName(prefix))
	if err != nil {
		return nil, fmt.Errorf("list audit records: %w", err)
	}
	list := make([]Record, 0, len(objects))
	for _, o := range objects {
		var r Record
		if err := json.Unmarshal(o.Data, &r); err != nil {
			return nil, fmt.Errorf("decode audit record %s: %w", o.Name, err)
		}
		list = append(list, r)
	}
	slices.SortStableFunc(list, func(a, b Record) int { return a.Time.Compare(b.Time) })
	return list, nil
}
