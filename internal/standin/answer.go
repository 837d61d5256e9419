package standin

import (
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Answer returns the only correct answer to a prompt, so that clients can verify
// what they receive.
func Answer(text string, tokens int) string {
	var b strings.Builder
	promptHash := xxhash.Sum64String(text)
	for i := range tokens {
		b.WriteString(AnswerToken(promptHash, i))
	}
	return b.String()
}

// AnswerToken returns token i of the answer to the prompt with this hash.
func AnswerToken(promptHash uint64, i int) string {
	return strconv.FormatUint((promptHash+uint64(i)*0x9E3779B97F4A7C15)>>40, 36) + " "
}

// checksumOf returns the checksum of blocks with these keys.
func checksumOf[K ~[16]byte](keys []K) uint64 {
	h := xxhash.New()
	for _, k := range keys {
		b := [16]byte(k)
		_, _ = h.Write(b[:]) // A hash never returns an error.
	}
	return h.Sum64()
}
