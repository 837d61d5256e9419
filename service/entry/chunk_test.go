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

// A chunk means the same as if it had been encoded whole, whatever the text.
func FuzzChunkWriter(f *testing.F) {
	for _, text := range []string{"", "plain ", `"quoted"`, "\\", "\x00", "data: [DONE]\n\n", "ünï", "\xff", "<&>", "\u2028"} {
		f.Add(text, true)
		f.Add(text, false)
	}
	f.Fuzz(func(t *testing.T, text string, chat bool) {
		r := &Run{call: &Call{Terms: Terms{RequestID: "id-" + text, Received: time.Unix(7, 0)}, Model: "m", Chat: chat}}
		c, err := newChunkWriter(r)
		assert.NilError(t, err)
		var buf bytes.Buffer
		assert.NilError(t, c.write(bufio.NewWriter(&buf), text))
		line := strings.TrimSuffix(strings.TrimPrefix(buf.String(), "data: "), "\n\n")
		assert.Assert(t, !strings.Contains(line, "\n"), "%q", line)
		want, err := json.Marshal(r.message(text, true, false))
		assert.NilError(t, err)
		var a, b any
		assert.NilError(t, json.Unmarshal([]byte(line), &a))
		assert.NilError(t, json.Unmarshal(want, &b))
		assert.DeepEqual(t, a, b)
	})
}
