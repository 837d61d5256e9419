package site

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"strings"
)

// Fingerprint identifies requests with the same content, across a client's attempts and
// across nodes. It is a hash, so that it reveals nothing of the content.
type Fingerprint [16]byte

// NewFingerprint hashes a request. organisation is "" if the request has none, host is
// compared without regard to case, target is the path with the query.
//
// The hash is cryptographic, so that no client can forge a request with the fingerprint of
// another organisation's. It takes 72 us for 100 kB.
func NewFingerprint(organisation, method, host, target string, body []byte) (f Fingerprint) {
	h := sha256.New()
	var size [8]byte
	for _, text := range []string{organisation, method, strings.ToLower(host), target} {
		// The length before each text keeps "ab", "c" apart from "a", "bc".
		binary.BigEndian.PutUint64(size[:], uint64(len(text)))
		h.Write(size[:])
		h.Write([]byte(text))
	}
	h.Write(body)
	copy(f[:], h.Sum(nil))
	return f
}

// String writes the fingerprint in hexadecimal.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }

// MarshalText writes the fingerprint in hexadecimal.
func (f Fingerprint) MarshalText() ([]byte, error) { return []byte(f.String()), nil }

var errInvalidFingerprint = errors.New("not a fingerprint")

// UnmarshalText reads what MarshalText writes.
func (f *Fingerprint) UnmarshalText(text []byte) error {
	b, err := hex.DecodeString(string(text))
	if err != nil || len(b) != len(f) {
		return errInvalidFingerprint
	}
	copy(f[:], b)
	return nil
}
