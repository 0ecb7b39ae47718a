package vm

// Encode encodes v as CBOR.
func Encode[T any](v T) ([]byte, error) { return Encoding{}.Marshal(v) }

// Decode decodes a value from CBOR.
func Decode[T any](data []byte) (T, error) {
	var v T
	err := Encoding{}.Unmarshal(data, &v)
	return v, err
}
