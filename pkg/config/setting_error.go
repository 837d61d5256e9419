package config

import (
	"fmt"
	"strings"
)

// SettingError is one thing wrong with a settings file.
type SettingError struct {
	Path   string `json:"path"`
	Line   int    `json:"line"`
	Found  string `json:"found"`
	Wanted string `json:"wanted"`
}

// String gives the fault in one line.
func (f SettingError) String() string {
	return fmt.Sprintf("line %d: %s: found %s, wanted %s", f.Line, f.Path, f.Found, f.Wanted)
}

// SettingErrors is every fault of a settings file, in file order.
type SettingErrors []SettingError

// Error lists all faults, one a line.
func (f SettingErrors) Error() string {
	lines := make([]string, len(f))
	for i := range f {
		lines[i] = f[i].String()
	}
	return strings.Join(lines, "\n")
}

// errWanted is the parse error of a value type; it says what was wanted.
type errWanted string

func (e errWanted) Error() string { return "wanted " + string(e) }
