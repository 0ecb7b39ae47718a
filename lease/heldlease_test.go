package lease

import (
	"testing"

	"github.com/matryer/is"

	"chestnutcleat.example/chestnutcleat"
)

// Only witnesses that promised a higher epoch must count against a lease, not those that have not been asked yet, as they replaced another:
// one promise of three ended a lease that the other two renewed.
func TestRenewable(t *testing.T) {
	tests := []struct {
		name      string
		witnesses []chestnutcleat.VMID
		promised  []chestnutcleat.VMID
		want      bool
	}{
		{"none promised", []chestnutcleat.VMID{"a", "b", "c"}, nil, true},
		{"one of three", []chestnutcleat.VMID{"a", "b", "c"}, []chestnutcleat.VMID{"a"}, true},
		{"two of three", []chestnutcleat.VMID{"a", "b", "c"}, []chestnutcleat.VMID{"a", "b"}, false},
		{"one of two", []chestnutcleat.VMID{"a", "b"}, []chestnutcleat.VMID{"a"}, false},
		{"one of three, another just replaced", []chestnutcleat.VMID{"a", "b", "new"}, []chestnutcleat.VMID{"a"}, true},
		{"two of three, another just replaced", []chestnutcleat.VMID{"a", "b", "new"}, []chestnutcleat.VMID{"a", "b"}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var m Member
			for _, id := range tt.witnesses {
				m.Witnesses = append(m.Witnesses, Witness{VM: id})
			}
			h := newHeldLease(m, 1, newStore(1))
			for _, id := range []chestnutcleat.VMID{"a", "b", "c"} {
				h.witnessState(id)
			}
			for _, id := range tt.promised {
				h.witnessState(id).promisedHigher = true
			}
			is.New(t).Equal(h.renewable(), tt.want)
		})
	}
}
