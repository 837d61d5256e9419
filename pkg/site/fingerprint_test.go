package site_test

import (
	"encoding/json"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/drumpath/drumpath/pkg/site"
)

func TestDifferentRequestsHaveDifferentFingerprints(t *testing.T) {
	fingerprint := func(organisation, method, host, target, body string) site.Fingerprint {
		return site.NewFingerprint(organisation, method, host, target, []byte(body))
	}
	same := fingerprint("org-one", "POST", "boards.example", "/screen/1?x=2", "the body")
	assert.Equal(t, same, fingerprint("org-one", "POST", "Boards.Example", "/screen/1?x=2", "the body"))
	for name, other := range map[string]site.Fingerprint{
		"organisation":            fingerprint("org-two", "POST", "boards.example", "/screen/1?x=2", "the body"),
		"no organisation":         fingerprint("", "POST", "boards.example", "/screen/1?x=2", "the body"),
		"method":                  fingerprint("org-one", "PUT", "boards.example", "/screen/1?x=2", "the body"),
		"host":                    fingerprint("org-one", "POST", "tanks.example", "/screen/1?x=2", "the body"),
		"query":                   fingerprint("org-one", "POST", "boards.example", "/screen/1?x=3", "the body"),
		"body":                    fingerprint("org-one", "POST", "boards.example", "/screen/1?x=2", "the bodies"),
		"path runs into body":     fingerprint("org-one", "POST", "boards.example", "/screen/1?x=2the", " body"),
		"organisation and method": fingerprint("org-onePOST", "", "boards.example", "/screen/1?x=2", "the body"),
	} {
		assert.Assert(t, other != same, name)
	}
}

// Nodes of different versions exchange fingerprints, also during an update.
func TestFingerprintIsStableAcrossVersions(t *testing.T) {
	f := site.NewFingerprint("org-one", "POST", "boards.example", "/screen/1", []byte("the body"))
	text, err := json.Marshal(f)
	assert.NilError(t, err)
	assert.Equal(t, string(text), `"a5f6e307beae333f0e6319bc3f7eadc1"`)
	var back site.Fingerprint
	assert.NilError(t, json.Unmarshal(text, &back))
	assert.Equal(t, back, f)
	for _, bad := range []string{`"zz"`, `""`, `"00"`, `7`} {
		assert.Assert(t, json.Unmarshal([]byte(bad), &back) != nil, bad)
	}
}

func BenchmarkFingerprint(b *testing.B) {
	body := make([]byte, 100_000)
	b.SetBytes(int64(len(body)))
	for b.Loop() {
		site.NewFingerprint("org-one", "POST", "boards.example", "/screen/1", body)
	}
}
