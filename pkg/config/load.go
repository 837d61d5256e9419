package config

import (
	"os"
	"sort"

	"github.com/rotisserie/eris"
)

// Load reads and checks a settings file; the error is SettingErrors when the file
// could be read but is wrong.
func Load(path string) (s Settings, err error) { return load(path, Parse) }

// Parse checks settings text and returns the settings, or every fault as
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

// ParseGateway checks a gateway's settings text, as Parse does.
func ParseGateway(text []byte) (s GatewaySettings, err error) {
	s = GatewayDefaults()
	if err := parse(text, &s); err != nil {
		return GatewaySettings{}, err
	}
	return s, nil
}

func load[T any](path string, parse func([]byte) (T, error)) (s T, err error) {
	defer func() {
		if _, faults := err.(SettingErrors); err != nil && !faults { // SettingErrors is returned bare.
			err = eris.Wrapf(err, "settings %s", path)
		}
	}()
	text, err := os.ReadFile(path)
	if err != nil {
		return s, err
	}
	return parse(text)
}

// parse fills a struct that has its defaults.
func parse(text []byte, into any) error {
	r := newReader(text)
	r.read(into)
	if len(r.faults) == 0 {
		r.validate(into)
	}
	if len(r.faults) == 0 {
		return nil
	}
	sort.SliceStable(r.faults, func(i, j int) bool { return r.faults[i].Line < r.faults[j].Line })
	return r.faults
}
