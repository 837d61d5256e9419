package prompt

import (
	"crypto/sha256"
	"encoding/hex"

	"github.com/rotisserie/eris"
)

// KeySize is the length of a key in bytes.
const KeySize = 16

// Key identifies a prefix of a prompt within its scope.
type Key [KeySize]byte

// String returns the key in hex.
func (k Key) String() string { return hex.EncodeToString(k[:]) }

// MarshalText returns the key in hex.
func (k Key) MarshalText() ([]byte, error) { return []byte(k.String()), nil }

// UnmarshalText parses a key in hex.
func (k *Key) UnmarshalText(text []byte) error {
	if len(text) != hex.EncodedLen(KeySize) {
		return eris.Errorf("key: %d hex digits wanted, found %d", hex.EncodedLen(KeySize), len(text))
	}
	_, err := hex.Decode(k[:], text)
	return err
}

// next returns the key of the prefix k extended by chunk.
func (k Key) next(chunk string) Key {
	var buf [KeySize + ChunkBytes]byte
	n := copy(buf[:], k[:])
	n += copy(buf[n:], chunk)
	sum := sha256.Sum256(buf[:n])
	return Key(sum[:KeySize])
}
