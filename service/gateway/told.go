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
	// baseLeast is from what size on, in bytes, a value serves as a base: below, the
	// rest of a message is as large.
	baseLeast = 4 << 10
	// basesKept and basesBytes bound the former values of a table that are kept as
	// bases for nodes that are behind: some changes in a row, and a tenth of the
	// memory of a small node.
	basesKept  = 4
	basesBytes = 8 << 20
	// packLeast is from what size on, in bytes, rows without a base are compressed:
	// less does not pay for its tables of 0.3 MB.
	packLeast = 4 << 10
	// toldKept is how many packed answers are kept for further nodes: those of
	// nodes that have each of the bases, or none.
	toldKept = basesKept + 2
	// Windows of the compression, in bytes: it reaches back over base and rows.
	// What is larger is told as well, but less of it is found in the base.
	leastWindow = 1 << 20
	mostWindow  = 32 << 20
	// mostTold bounds what is unpacked, in bytes.
	mostTold = 256 << 20
	// baseID marks what was packed against a base.
	baseID = 1
)

// rowRef names one value of a row; a zero one names none.
type rowRef struct {
	Key     string `json:"key,omitempty"`
	Version int64  `json:"version,omitempty"`
}

// toldRows are rows as one node tells them to another.
type toldRows struct {
	Data []byte `json:"data,omitempty"`
	// Packed says that Data is compressed, Base against what, if anything.
	Packed bool   `json:"packed,omitempty"`
	Base   rowRef `json:"base,omitzero"`
}

// packRows encodes rows, against the value of a base if there is one.
func packRows(rows []site.Row, ref rowRef, base []byte) (t toldRows, err error) {
	defer func() { err = eris.Wrap(err, "pack rows") }()
	if len(rows) == 0 {
		return t, nil
	}
	var plain bytes.Buffer
	if err := gob.NewEncoder(&plain).Encode(rows); err != nil {
		return t, err
	}
	if len(base) == 0 {
		ref = rowRef{}
		if plain.Len() < packLeast {
			return toldRows{Data: plain.Bytes()}, nil
		}
	}
	options := []zstd.EOption{
		zstd.WithEncoderLevel(zstd.SpeedDefault),
		zstd.WithEncoderConcurrency(1),
		zstd.WithLowerEncoderMem(true),
		zstd.WithWindowSize(windowOf(plain.Len() + len(base))),
	}
	if len(base) > 0 {
		options = append(options, zstd.WithEncoderDictRaw(baseID, base))
	}
	e, err := zstd.NewWriter(nil, options...)
	if err != nil {
		return t, err
	}
	return toldRows{Data: e.EncodeAll(plain.Bytes(), nil), Packed: true, Base: ref}, e.Close()
}

// windowOf is the least window that reaches over a number of bytes.
func windowOf(n int) int {
	return min(mostWindow, max(leastWindow, 1<<bits.Len(uint(n))))
}

// unpack is the reverse of packRows, with the value of the same base.
func (t toldRows) unpack(base []byte) (rows []site.Row, err error) {
	defer func() { err = eris.Wrap(err, "unpack rows") }()
	if len(t.Data) == 0 {
		return nil, nil
	}
	plain := t.Data
	if t.Packed {
		if plain, err = t.decompress(base); err != nil {
			return nil, err
		}
	}
	return rows, gob.NewDecoder(bytes.NewReader(plain)).Decode(&rows)
}

func (t toldRows) decompress(base []byte) ([]byte, error) {
	options := []zstd.DOption{
		zstd.WithDecoderConcurrency(1),
		zstd.WithDecoderMaxWindow(mostWindow),
		zstd.WithDecoderMaxMemory(mostTold),
	}
	if t.Base != (rowRef{}) {
		if len(base) == 0 {
			return nil, errNoBase
		}
		options = append(options, zstd.WithDecoderDictRaw(baseID, base))
	}
	d, err := zstd.NewReader(nil, options...)
	if err != nil {
		return nil, err
	}
	defer d.Close()
	return d.DecodeAll(t.Data, nil)
}

// errNoBase says that rows were packed against a value that is not known here.
var errNoBase = errors.New("packed against a value that this node does not have")

// formerValues are values that a row had, the newest first.
type formerValues []site.Row

// add keeps a value, and drops the oldest ones beyond the bounds.
func (f formerValues) add(r site.Row) formerValues {
	f = slices.Insert(f, 0, r)
	size, keep := 0, 0
	for _, x := range f[:min(len(f), basesKept)] {
		if size += len(x.Value); size > basesBytes {
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

// toldKey tells packed answers of one state of a table apart.
type toldKey struct {
	whole bool
	first int64 // The lowest version of a row.
	base  rowRef
}
