package entry

import (
	"bufio"
	"bytes"
	"encoding/json"
)

// chunkWriter writes the chunks of one stream. All chunks but the last differ
// only in their text, so the rest is encoded once: encoding each afresh cost
// more than everything else that a token costs here.
type chunkWriter struct {
	prefix []byte
	suffix []byte
}

// textMark stands for the text while the rest is encoded.
const textMark = "\x00"

func newChunkWriter(r *Run) (*chunkWriter, error) {
	body, err := json.Marshal(r.message(textMark, true, false))
	if err != nil {
		return nil, err
	}
	mark, err := json.Marshal(textMark)
	if err != nil {
		return nil, err
	}
	prefix, suffix, _ := bytes.Cut(body, mark)
	return &chunkWriter{
		prefix: append([]byte("data: "), prefix...),
		suffix: append(bytes.Clone(suffix), "\n\n"...),
	}, nil
}

// write sends one chunk on.
func (c *chunkWriter) write(w *bufio.Writer, text string) error {
	_, _ = w.Write(c.prefix) // Flush reports it.
	if isPlain(text) {
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

// isPlain says whether a text is the same within JSON quotes.
func isPlain(text string) bool {
	for i := range len(text) {
		if b := text[i]; b < ' ' || b > '~' || b == '"' || b == '\\' {
			return false
		}
	}
	return true
}
