package config

import "time"

// Duration is a time.Duration, written with a unit, such as "1.5s".
type Duration time.Duration

// UnmarshalText parses the form that time.ParseDuration takes.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return formatError("a duration such as \"250ms\" or \"10s\"")
	}
	*d = Duration(v)
	return nil
}

// MarshalText writes the form that UnmarshalText reads.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// Std returns the duration as the standard type.
func (d Duration) Std() time.Duration { return time.Duration(d) }
