package prompt

import (
	"crypto/sha256"
	"encoding/binary"
)

// Scope is everything that must be equal for two requests to share cached KV state.
type Scope struct {
	Organisation string
	Model        string
	Weights      string
	Adapter      string
	// Reuse is what the operator's reuse rule adds to the scope: nothing, a label,
	// or the request's own id.
	Reuse string
}

// Root returns the root key of the scope's chains.
func (s Scope) Root() Key {
	h := sha256.New()
	for _, part := range []string{s.Organisation, s.Model, s.Weights, s.Adapter, s.Reuse} {
		// The length prefix makes the encoding unambiguous.
		var size [8]byte
		binary.BigEndian.PutUint64(size[:], uint64(len(part)))
		h.Write(size[:])
		h.Write([]byte(part))
	}
	return Key(h.Sum(nil)[:KeySize])
}
