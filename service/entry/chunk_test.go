package entry

import (
	"bufio"
	"bytes"
	"encoding/json"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A chunk must decode to the same value as one encoded in one piece, whatever its text.
func FuzzChunkWriter(f *testing.F) {
	for _, text := range []string{"", "plain ", `"quoted"`, "\\", "\x00", "data: [DONE]\n\n", "ünï", "\xff", "<&>", "\u2028"} {
		f.Add(text, true)
		f.Add(text, false)
	}
	f.Fuzz(func(t *testing.T, text string, chat bool) {
		r := &Run{call: &Call{RequestMeta: RequestMeta{RequestID: "id-" + text, Received: time.Unix(7, 0)}, Model: "m", Chat: chat}}
		c, err := newChunkWriter(r)
		assert.NilError(t, err)
		var buf bytes.Buffer
		assert.NilError(t, c.write(bufio.NewWriter(&buf), text))
		line := strings.TrimSuffix(strings.TrimPrefix(buf.String(), "data: "), "\n\n")
		assert.Assert(t, !strings.Contains(line, "\n"), "%q", line)
		want, err := json.Marshal(r.response(text, true, false))
		assert.NilError(t, err)
		var a, b any
		assert.NilError(t, json.Unmarshal([]byte(line), &a))
		assert.NilError(t, json.Unmarshal(want, &b))
		assert.DeepEqual(t, a, b)
	})
}
