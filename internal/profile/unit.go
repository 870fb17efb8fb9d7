package profile

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Duration is a time.Duration that is written like "1.9s".
type Duration time.Duration

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(d.String()), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return errors.Errorf("%q is not a duration: write a number with a unit, such as 250ms, 1.9s, 5m or 8h", text)
	}
	*d = Duration(v)
	return nil
}

// Std returns d as a time.Duration.
func (d Duration) Std() time.Duration {
	return time.Duration(d)
}

// String returns the duration without trailing zero units: 8h, not 8h0m0s.
func (d Duration) String() string {
	s := time.Duration(d).String()
	if strings.HasSuffix(s, "m0s") {
		s = strings.TrimSuffix(s, "0s")
	}
	if strings.HasSuffix(s, "h0m") {
		s = strings.TrimSuffix(s, "0m")
	}
	return s
}

// Size is a number of bytes that is written like "64KiB" or "1MiB".
type Size int64

// Units of a Size.
const (
	Byte Size = 1
	KiB       = 1024 * Byte
	MiB       = 1024 * KiB
	GiB       = 1024 * MiB
)

// sizeUnits lists the units with their names, the largest first.
var sizeUnits = []struct {
	name string
	size Size
}{{"GiB", GiB}, {"MiB", MiB}, {"KiB", KiB}, {"B", Byte}}

// maxSize is the largest Size that can be read. It prevents an overflow when a
// number is multiplied by its unit.
const maxSize = 1 << 20 * GiB

// String returns the size in the largest unit that divides it.
func (s Size) String() string {
	for _, u := range sizeUnits {
		if s != 0 && s%u.size == 0 {
			return fmt.Sprintf("%d%s", s/u.size, u.name)
		}
	}
	return "0B"
}

// MarshalText implements encoding.TextMarshaler.
func (s Size) MarshalText() ([]byte, error) {
	return []byte(s.String()), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (s *Size) UnmarshalText(text []byte) error {
	for _, u := range sizeUnits {
		digits, ok := strings.CutSuffix(string(text), u.name)
		if !ok {
			continue
		}
		n, err := strconv.ParseInt(digits, 10, 64)
		if err != nil || n < 0 || n > int64(maxSize/u.size) {
			break
		}
		*s = Size(n) * u.size
		return nil
	}
	return errors.Errorf("%q is not a size: write a whole number with a unit, such as 512B, 64KiB or 1MiB", text)
}
