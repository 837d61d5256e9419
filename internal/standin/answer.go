package standin

import (
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Answer gives the one right answer to a prompt, so that whoever asked can
// verify what came back.
func Answer(text string, tokens int) string {
	var b strings.Builder
	base := xxhash.Sum64String(text)
	for i := range tokens {
		b.WriteString(AnswerToken(base, i))
	}
	return b.String()
}

// AnswerToken gives token i of the answer to the prompt with a hash.
func AnswerToken(base uint64, i int) string {
	return strconv.FormatUint((base+uint64(i)*0x9E3779B97F4A7C15)>>40, 36) + " "
}

// checksumOf gives the checksum of blocks with these keys.
func checksumOf[K ~[16]byte](keys []K) uint64 {
	h := xxhash.New()
	for _, k := range keys {
		b := [16]byte(k)
		_, _ = h.Write(b[:]) // It never fails.
	}
	return h.Sum64()
}
