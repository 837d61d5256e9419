package config

import (
	"os"
	"sort"

	"github.com/rotisserie/eris"
)

// Load reads and checks a settings file; the error is Faults when the file
// could be read but is wrong.
func Load(path string) (s Settings, err error) {
	defer func() {
		if _, faults := err.(Faults); err != nil && !faults { // Faults is returned bare.
			err = eris.Wrapf(err, "settings %s", path)
		}
	}()
	text, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, err
	}
	return Parse(text)
}

// Parse checks settings text and returns the settings, or every fault as
// Faults.
func Parse(text []byte) (s Settings, err error) {
	s = Defaults()
	r := newReader(text)
	r.read(&s)
	if len(r.faults) == 0 {
		r.validate(&s)
	}
	if len(r.faults) > 0 {
		sort.SliceStable(r.faults, func(i, j int) bool { return r.faults[i].Line < r.faults[j].Line })
		return Settings{}, r.faults
	}
	return s, nil
}
