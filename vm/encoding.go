package vm

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
	"storj.io/drpc"
)

// Encoding implements drpc.Encoding for messages between VMs: CBOR that uses the JSON tags of the domain types.
type Encoding struct{}

var (
	encodeMode = mustEncodeMode()
	decodeMode = mustDecodeMode()
)

const (
	maxElements      = 1 << 20
	maxNestingLevels = 32
)

func mustEncodeMode() cbor.EncMode {
	m, err := cbor.EncOptions{Time: cbor.TimeRFC3339Nano}.EncMode()
	if err != nil {
		panic(err)
	}
	return m
}

func mustDecodeMode() cbor.DecMode {
	o := cbor.DecOptions{
		MaxArrayElements: maxElements,
		MaxMapPairs:      maxElements,
		MaxNestedLevels:  maxNestingLevels,
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		// Ids come from callers' headers, which may hold any bytes, and the encoder does not check them.
		UTF8: cbor.UTF8DecodeInvalid,
	}
	m, err := o.DecMode()
	if err != nil {
		panic(err)
	}
	return m
}

// Marshal implements drpc.Encoding.
func (Encoding) Marshal(m drpc.Message) ([]byte, error) {
	data, err := encodeMode.Marshal(m)
	if err != nil {
		return nil, fmt.Errorf("encode %T: %w", m, err)
	}
	return data, nil
}

// Unmarshal implements drpc.Encoding.
func (Encoding) Unmarshal(data []byte, m drpc.Message) error {
	if err := decodeMode.Unmarshal(data, m); err != nil {
		return fmt.Errorf("decode %T: %w", m, err)
	}
	return nil
}
