package prompt

import "github.com/rotisserie/eris"

// PackedMarks is the compact form in which a chain's marks are sent. Their positions
// follow from the number of chunks, so only the keys are sent.
type PackedMarks struct {
	Chunks int    `json:"c"`
	Keys   []byte `json:"k"`
}

// Pack returns the compact form of a chain's marks.
func Pack(marks []Mark) PackedMarks {
	p := PackedMarks{Keys: make([]byte, 0, len(marks)*KeySize)}
	for _, m := range marks {
		p.Chunks = m.Chunks
		p.Keys = append(p.Keys, m.Key[:]...)
	}
	return p
}

// Unpack returns the marks.
func (p PackedMarks) Unpack() (marks []Mark, err error) {
	keys, err := UnpackKeys(p.Keys)
	if err != nil {
		return nil, err
	}
	used := 0
	for chunks := 1; chunks <= p.Chunks && chunks <= maxMarkChunks; chunks++ {
		if !IsMark(chunks) && chunks != p.Chunks {
			continue
		}
		if used == len(keys) {
			break
		}
		marks = append(marks, Mark{Chunks: chunks, Key: keys[used]})
		used++
	}
	if used != len(keys) || len(marks) > 0 && marks[len(marks)-1].Chunks != p.Chunks {
		return nil, eris.Errorf("packed marks: %d keys don't fit %d chunks", len(keys), p.Chunks)
	}
	return marks, nil
}

// PackKeys concatenates keys.
func PackKeys(keys []Key) []byte {
	b := make([]byte, 0, len(keys)*KeySize)
	for _, k := range keys {
		b = append(b, k[:]...)
	}
	return b
}

// UnpackKeys splits what PackKeys has concatenated.
func UnpackKeys(b []byte) (keys []Key, err error) {
	if len(b)%KeySize != 0 {
		return nil, eris.Errorf("packed keys: %d bytes", len(b))
	}
	keys = make([]Key, len(b)/KeySize)
	for i := range keys {
		keys[i] = Key(b[i*KeySize:])
	}
	return keys, nil
}
