package gateway

import (
	"bytes"
	"encoding/gob"
	"errors"
	"math/bits"
	"slices"

	"github.com/klauspost/compress/zstd"
	"github.com/rotisserie/eris"

	"github.com/drumpath/drumpath/pkg/site"
)

// What one node tells another of a table is compressed, against a value that both
// have: a configuration is one row, and most of it stays as it was. For 1,400 routes
// more, 5,600 in all, 36 kB go to a node instead of 2.5 MB, which took a link of 10
// Mbit/s for two seconds.
const (
	// minBaseSize is from what size on, in bytes, a value serves as a base: below, the
	// rest of a message is as large.
	minBaseSize = 4 << 10
	// maxFormerValues and basesBytes bound the former values of a table that are kept as
	// bases for nodes that are behind: some changes in a row, and a tenth of the
	// memory of a small node.
	maxFormerValues = 4
	maxFormerBytes  = 8 << 20
	// minPackSize is from what size on, in bytes, rows without a base are compressed:
	// less does not pay for its tables of 0.3 MB.
	minPackSize = 4 << 10
	// maxPackedAnswers is how many packed answers are kept for further nodes: those of
	// nodes that have each of the bases, or none.
	maxPackedAnswers = maxFormerValues + 2
	// Windows of the compression, in bytes: it reaches back over base and rows.
	// What is larger is told as well, but less of it is found in the base.
	minWindow = 1 << 20
	maxWindow = 32 << 20
	// maxUnpackedSize bounds what is unpacked, in bytes.
	maxUnpackedSize = 256 << 20
	// baseDictID marks what was packed against a base.
	baseDictID = 1
)

// rowRef names one value of a row; a zero one names none.
type rowRef struct {
	Key     string `json:"key,omitempty"`
	Version int64  `json:"version,omitempty"`
}

// packedRows are rows as one node tells them to another.
type packedRows struct {
	Data []byte `json:"data,omitempty"`
	// Packed says that Data is compressed, Base against what, if anything.
	Packed bool   `json:"packed,omitempty"`
	Base   rowRef `json:"base,omitzero"`
}

// packRows encodes rows, against the value of a base if there is one.
func packRows(rows []site.Row, ref rowRef, base []byte) (p packedRows, err error) {
	defer func() { err = eris.Wrap(err, "pack rows") }()
	if len(rows) == 0 {
		return p, nil
	}
	var plain bytes.Buffer
	if err := gob.NewEncoder(&plain).Encode(rows); err != nil {
		return p, err
	}
	if len(base) == 0 {
		ref = rowRef{}
		if plain.Len() < minPackSize {
			return packedRows{Data: plain.Bytes()}, nil
		}
	}
	options := []zstd.EOption{
		zstd.WithEncoderLevel(zstd.SpeedDefault),
		zstd.WithEncoderConcurrency(1),
		zstd.WithLowerEncoderMem(true),
		zstd.WithWindowSize(windowSize(plain.Len() + len(base))),
	}
	if len(base) > 0 {
		options = append(options, zstd.WithEncoderDictRaw(baseDictID, base))
	}
	e, err := zstd.NewWriter(nil, options...)
	if err != nil {
		return p, err
	}
	return packedRows{Data: e.EncodeAll(plain.Bytes(), nil), Packed: true, Base: ref}, e.Close()
}

// windowSize is the least window that reaches over a number of bytes.
func windowSize(n int) int {
	return min(maxWindow, max(minWindow, 1<<bits.Len(uint(n))))
}

// unpack is the reverse of packRows, with the value of the same base.
func (p packedRows) unpack(base []byte) (rows []site.Row, err error) {
	defer func() { err = eris.Wrap(err, "unpack rows") }()
	if len(p.Data) == 0 {
		return nil, nil
	}
	plain := p.Data
	if p.Packed {
		if plain, err = p.decompress(base); err != nil {
			return nil, err
		}
	}
	return rows, gob.NewDecoder(bytes.NewReader(plain)).Decode(&rows)
}

func (p packedRows) decompress(base []byte) ([]byte, error) {
	options := []zstd.DOption{
		zstd.WithDecoderConcurrency(1),
		zstd.WithDecoderMaxWindow(maxWindow),
		zstd.WithDecoderMaxMemory(maxUnpackedSize),
	}
	if p.Base != (rowRef{}) {
		if len(base) == 0 {
			return nil, errNoBase
		}
		options = append(options, zstd.WithDecoderDictRaw(baseDictID, base))
	}
	d, err := zstd.NewReader(nil, options...)
	if err != nil {
		return nil, err
	}
	defer d.Close()
	return d.DecodeAll(p.Data, nil)
}

// errNoBase says that rows were packed against a value that is not known here.
var errNoBase = errors.New("packed against a value that this node does not have")

// formerValues are values that a row had, the newest first.
type formerValues []site.Row

// add keeps a value, and drops the oldest ones beyond the bounds.
func (f formerValues) add(r site.Row) formerValues {
	f = slices.Insert(f, 0, r)
	size, keep := 0, 0
	for _, x := range f[:min(len(f), maxFormerValues)] {
		if size += len(x.Value); size > maxFormerBytes {
			break
		}
		keep++
	}
	clear(f[keep:])
	return f[:keep]
}

// find returns the value of a version, nil if it is not kept.
func (f formerValues) find(version int64) []byte {
	for _, x := range f {
		if x.Version == version {
			return x.Value
		}
	}
	return nil
}

// packedKey tells packed answers of one state of a table apart.
type packedKey struct {
	whole bool
	first int64 // The lowest version of a row.
	base  rowRef
}
