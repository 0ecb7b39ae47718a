package vm

// Encode returns the CBOR form of v.
func Encode[T any](v T) ([]byte, error) { return Encoding{}.Marshal(v) }

// Decode reads a value from its CBOR form.
func Decode[T any](data []byte) (T, error) {
	var v T
	err := Encoding{}.Unmarshal(data, &v)
	return v, err
}
