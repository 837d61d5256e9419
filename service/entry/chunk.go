package entry

import (
	"bufio"
	"bytes"
	"encoding/json"
)

// chunkWriter writes the chunks of one stream. All chunks but the last differ
// only in their text, so the rest is encoded once: encoding every chunk anew cost
// more than all other work per token.
type chunkWriter struct {
	prefix []byte
	suffix []byte
}

// textPlaceholder takes the place of the text while the rest is encoded.
const textPlaceholder = "\x00"

func newChunkWriter(r *Run) (*chunkWriter, error) {
	body, err := json.Marshal(r.response(textPlaceholder, true, false))
	if err != nil {
		return nil, err
	}
	quotedPlaceholder, err := json.Marshal(textPlaceholder)
	if err != nil {
		return nil, err
	}
	prefix, suffix, _ := bytes.Cut(body, quotedPlaceholder)
	return &chunkWriter{
		prefix: append([]byte("data: "), prefix...),
		suffix: append(bytes.Clone(suffix), "\n\n"...),
	}, nil
}

// write writes one chunk and flushes it.
func (c *chunkWriter) write(w *bufio.Writer, text string) error {
	_, _ = w.Write(c.prefix) // Flush reports it.
	if needsNoEscape(text) {
		_ = w.WriteByte('"')       // Flush reports it.
		_, _ = w.WriteString(text) // Flush reports it.
		_ = w.WriteByte('"')       // Flush reports it.
	} else {
		quoted, err := json.Marshal(text)
		if err != nil {
			return err
		}
		_, _ = w.Write(quoted) // Flush reports it.
	}
	_, _ = w.Write(c.suffix) // Flush reports it.
	return w.Flush()
}

// needsNoEscape reports whether a text needs no escapes within JSON quotes.
func needsNoEscape(text string) bool {
	for i := range len(text) {
		if b := text[i]; b < ' ' || b > '~' || b == '"' || b == '\\' {
			return false
		}
	}
	return true
}
