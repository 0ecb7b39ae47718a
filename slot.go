package chestnutcleat

import (
	"encoding/json"
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// SlotCount is the number of slots of a fleet.
const SlotCount = 4096

// Slot is a unit of ownership, below SlotCount.
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
		return fmt.Errorf("slot %d is not below %d", n, SlotCount)
	}
	*s = Slot(n)
	return nil
}
