package chestnutcleat

import (
	"fmt"
	"time"
)

// Duration is a time.Duration that is written as text such as "1.5s".
type Duration time.Duration

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("duration %q: expected a number with a unit, such as \"30s\"", text)
	}
	*d = Duration(v)
	return nil
}

// OrDefault returns d, or def when d is zero.
func (d Duration) OrDefault(def time.Duration) time.Duration {
	if d == 0 {
		return def
	}
	return time.Duration(d)
}
