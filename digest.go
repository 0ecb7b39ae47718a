package chestnutcleat

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
)

// Digest is a SHA-256 digest.
type Digest [sha256.Size]byte

// DigestOf returns the digest of data.
func DigestOf(data []byte) Digest { return sha256.Sum256(data) }

// String returns the digest in hexadecimal.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// MarshalText implements encoding.TextMarshaler.
func (d Digest) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Digest) UnmarshalText(text []byte) error {
	if len(text) != hex.EncodedLen(len(d)) {
		return fmt.Errorf("digest has %d characters, expected %d", len(text), hex.EncodedLen(len(d)))
	}
	if _, err := hex.Decode(d[:], text); err != nil {
		return fmt.Errorf("digest: %w", err)
	}
	return nil
}

// MarshalBinary implements encoding.BinaryMarshaler.
func (d Digest) MarshalBinary() ([]byte, error) { return d[:], nil }

// UnmarshalBinary implements encoding.BinaryUnmarshaler.
func (d *Digest) UnmarshalBinary(data []byte) error {
	if len(data) != len(d) {
		return fmt.Errorf("digest has %d bytes, expected %d", len(data), len(d))
	}
	copy(d[:], data)
	return nil
}
