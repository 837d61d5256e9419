package config

import (
	"os"
	"sort"

	"github.com/rotisserie/eris"
)

// Load reads and checks a settings file. The error is SettingErrors if the file could be
// read but is invalid.
func Load(path string) (s Settings, err error) { return load(path, Parse) }

// Parse checks the text of a settings file and returns the settings, or all errors as
// SettingErrors.
func Parse(text []byte) (s Settings, err error) {
	s = Defaults()
	if err := parse(text, &s); err != nil {
		return Settings{}, err
	}
	return s, nil
}

// LoadGateway reads and checks a gateway's settings file, as Load does.
func LoadGateway(path string) (s GatewaySettings, err error) { return load(path, ParseGateway) }

// ParseGateway checks the text of a gateway's settings file, as Parse does.
func ParseGateway(text []byte) (s GatewaySettings, err error) {
	s = GatewayDefaults()
	if err := parse(text, &s); err != nil {
		return GatewaySettings{}, err
	}
	return s, nil
}

func load[T any](path string, parse func([]byte) (T, error)) (s T, err error) {
	defer func() {
		if _, invalid := err.(SettingErrors); err != nil && !invalid { // SettingErrors is returned unwrapped.
			err = eris.Wrapf(err, "settings %s", path)
		}
	}()
	text, err := os.ReadFile(path)
	if err != nil {
		return s, err
	}
	return parse(text)
}

// parse decodes text into a struct that holds the defaults, and validates it.
func parse(text []byte, into any) error {
	r := newReader(text)
	r.read(into)
	if len(r.errors) == 0 {
		r.validate(into)
	}
	if len(r.errors) == 0 {
		return nil
	}
	sort.SliceStable(r.errors, func(i, j int) bool { return r.errors[i].Line < r.errors[j].Line })
	return r.errors
}
