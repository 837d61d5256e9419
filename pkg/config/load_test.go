package config

import (
	"errors"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const validSettings = `{
  // The VM.
  "node": {"name": "vm-1", "data_hall": "north"},
  "entry": {"listen": "127.0.0.1:8080", "max_age": "5s", "max_body": "1MiB"},
  "peer": {"listen": "127.0.0.1:9080", "key": "long-enough-key", "seeds": ["127.0.0.1:9081"]},
  "operator": {"token": "long-enough-token"},
  "platform": {"table": "127.0.0.1:7001", "object": "127.0.0.1:7002"},
}`

func TestParseAcceptsValidSettings(t *testing.T) {
	s, err := Parse([]byte(validSettings))
	assert.NilError(t, err)
	assert.Equal(t, s.Entry.MaxAge.Std(), 5*time.Second)
	assert.Equal(t, int64(s.Entry.MaxBody), int64(1<<20))
	assert.Equal(t, s.Peer.Seeds[0].String(), "127.0.0.1:9081")
	assert.Equal(t, s.Policy.Name, PolicyDrumpath)
}

func TestParseReportsAllErrors(t *testing.T) {
	text := strings.Replace(validSettings, `"max_age": "5s"`, `"max_age": 5`, 1)
	text = strings.Replace(text, `"seeds": ["127.0.0.1:9081"]`, `"seeds": ["localhost"]`, 1)
	text = strings.Replace(text, `"operator"`, `"operatr"`, 1)
	_, err := Parse([]byte(text))
	var settingErrors SettingErrors
	assert.Assert(t, errors.As(err, &settingErrors))
	assert.Equal(t, len(settingErrors), 3, err.Error())
	assert.Equal(t, settingErrors[0].Path, "entry.max_age")
	assert.Equal(t, settingErrors[0].Line, 4)
	assert.Equal(t, settingErrors[1].Path, "peer.seeds[0]")
	assert.Equal(t, settingErrors[2].Path, "operatr")
}

func TestParseErrorsHideSecrets(t *testing.T) {
	text := strings.Replace(validSettings, "long-enough-key", "short", 1)
	_, err := Parse([]byte(text))
	assert.ErrorContains(t, err, "peer.key")
	assert.Assert(t, !strings.Contains(err.Error(), "short\""), err.Error())
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(validSettings))
	f.Add([]byte(`{"node": [`))
	f.Add([]byte(`{"entry": {"max_body": "1e400GiB"}}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		_, err := Parse(text)
		var settingErrors SettingErrors
		if err != nil && !errors.As(err, &settingErrors) {
			t.Fatalf("not SettingErrors: %v", err)
		}
	})
}
