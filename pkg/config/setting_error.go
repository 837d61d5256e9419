package config

import (
	"fmt"
	"strings"
)

// SettingError is one error in a settings file.
type SettingError struct {
	Path   string `json:"path"`
	Line   int    `json:"line"`
	Found  string `json:"found"`
	Wanted string `json:"wanted"`
}

// String writes the error in one line.
func (e SettingError) String() string {
	return fmt.Sprintf("line %d: %s: found %s, wanted %s", e.Line, e.Path, e.Found, e.Wanted)
}

// SettingErrors are all errors of a settings file, in the order of their lines.
type SettingErrors []SettingError

// Error lists all errors, one per line.
func (e SettingErrors) Error() string {
	lines := make([]string, len(e))
	for i := range e {
		lines[i] = e[i].String()
	}
	return strings.Join(lines, "\n")
}

// formatError is the error of a type's UnmarshalText; it describes the expected format.
type formatError string

func (e formatError) Error() string { return "wanted " + string(e) }
