package site_test

import (
	"encoding/json"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/drumpath/drumpath/pkg/site"
)

func TestFingerprintIsOfContentAndOrganisation(t *testing.T) {
	of := func(organisation, method, host, target, body string) site.Fingerprint {
		return site.NewFingerprint(organisation, method, host, target, []byte(body))
	}
	same := of("org-one", "POST", "boards.example", "/screen/1?x=2", "the body")
	assert.Equal(t, same, of("org-one", "POST", "Boards.Example", "/screen/1?x=2", "the body"))
	for name, other := range map[string]site.Fingerprint{
		"organisation":         of("org-two", "POST", "boards.example", "/screen/1?x=2", "the body"),
		"no organisation":      of("", "POST", "boards.example", "/screen/1?x=2", "the body"),
		"method":               of("org-one", "PUT", "boards.example", "/screen/1?x=2", "the body"),
		"host":                 of("org-one", "POST", "tanks.example", "/screen/1?x=2", "the body"),
		"query":                of("org-one", "POST", "boards.example", "/screen/1?x=3", "the body"),
		"body":                 of("org-one", "POST", "boards.example", "/screen/1?x=2", "the bodies"),
		"path runs into body":  of("org-one", "POST", "boards.example", "/screen/1?x=2the", " body"),
		"organisation and way": of("org-onePOST", "", "boards.example", "/screen/1?x=2", "the body"),
	} {
		assert.Assert(t, other != same, name)
	}
}

// A node of a later version reads what one of this version has written.
func TestFingerprintStaysTheSame(t *testing.T) {
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
