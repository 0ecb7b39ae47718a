package chestnutcleat

import (
	"encoding/json"
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// SlotCount is the number of slots of a fleet.
const SlotCount = 4096

// Slot is a partition of the control state, numbered from 0 to SlotCount-1; each slot has one owner.
type Slot uint16

// UnmarshalCBOR implements cbor.Unmarshaler.
func (s *Slot) UnmarshalCBOR(data []byte) error { return s.decode(data, cbor.Unmarshal) }

// UnmarshalJSON implements json.Unmarshaler.
func (s *Slot) UnmarshalJSON(data []byte) error { return s.decode(data, json.Unmarshal) }

func (s *Slot) decode(data []byte, unmarshal func([]byte, any) error) error {
	var n uint64
	if err := unmarshal(data, &n); err != nil {
		return fmt.Errorf("slot: %w", err)
	}
	if n >= SlotCount {
		return fmt.Errorf("slot %d is out of range: expected less than %d", n, SlotCount)
	}
	*s = Slot(n)
	return nil
}
