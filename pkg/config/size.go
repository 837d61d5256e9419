package config

import (
	"math"
	"strconv"
	"strings"
)

// Size is a number of bytes, written with a unit, such as "8MiB".
type Size int64

var sizeUnits = []struct {
	suffix string
	bytes  float64
}{
	{"KiB", 1 << 10},
	{"MiB", 1 << 20},
	{"GiB", 1 << 30},
	{"kB", 1e3},
	{"MB", 1e6},
	{"GB", 1e9},
	{"B", 1},
}

// UnmarshalText parses a number followed by B, kB, MB, GB, KiB, MiB or GiB.
func (s *Size) UnmarshalText(text []byte) error {
	const wanted = "a size such as \"512KiB\" or \"8MiB\""
	for _, u := range sizeUnits {
		number, ok := strings.CutSuffix(string(text), u.suffix)
		if !ok {
			continue
		}
		v, err := strconv.ParseFloat(strings.TrimSpace(number), 64)
		if err != nil || v < 0 || v*u.bytes >= math.MaxInt64 {
			return formatError(wanted)
		}
		*s = Size(v * u.bytes)
		return nil
	}
	return formatError(wanted)
}

// MarshalText writes the size in bytes.
func (s Size) MarshalText() ([]byte, error) {
	return []byte(strconv.FormatInt(int64(s), 10) + "B"), nil
}
