package tables

import (
	"bytes"
	"crypto/sha256"
	"encoding/base64"
	"encoding/gob"
	"errors"
	"math/bits"
	"slices"

	"github.com/klauspost/compress/zstd"
	"github.com/rotisserie/eris"

	"github.com/drumpath/drumpath/pkg/history"
	"github.com/drumpath/drumpath/pkg/site"
)

// Table rows are compressed between nodes, against a value that both have: a configuration is
// a single row, of which most stays the same. Adding 1,400 routes to 4,200 sends 36 kB to a
// node instead of 2.5 MB, which took a link of 10 Mbit/s two seconds.
const (
	// minBaseSize is the size in bytes from which a value serves as a base: for smaller ones
	// the rest of the message is as large.
	minBaseSize = 4 << 10
	// maxFormerValues and maxFormerBytes limit the earlier values of a row that are kept as
	// bases for nodes that are behind: a few successive changes, and a tenth of the memory of
	// a small node.
	maxFormerValues = 4
	maxFormerBytes  = 8 << 20
	// minPackSize is the size in bytes from which rows without a base are compressed: for
	// less, the 0.3 MB of tables that the compressor allocates don't pay off.
	minPackSize = 4 << 10
	// maxPackedAnswers is how many packed answers are kept for further nodes: one for each
	// base, and some without a base.
	maxPackedAnswers = maxFormerValues + 2
	// Window sizes of the compression, in bytes: the window spans base and rows. Larger inputs
	// work as well, but less of them is found in the base.
	minWindow = 1 << 20
	maxWindow = 32 << 20
	// maxUnpackedSize limits the unpacked data, in bytes.
	maxUnpackedSize = 256 << 20
	// baseDictID is the dictionary ID of data that was packed against a base.
	baseDictID = 1
)

// rowRef names one value of a row by its content; the zero rowRef names none.
type rowRef struct {
	Key    string      `json:"key,omitempty"`
	Digest valueDigest `json:"digest,omitempty"`
}

// valueDigest identifies a value: two nodes may have different values of a row at the same position.
type valueDigest string

// digestBytes is the length of digests before they are encoded. Nodes name one in each request; packed data have a
// checksum besides.
const digestBytes = 8

// digestOf returns the digest of a value, in base64.
func digestOf(value []byte) valueDigest {
	sum := sha256.Sum256(value)
	return valueDigest(base64.RawURLEncoding.EncodeToString(sum[:digestBytes]))
}

// packedRows is the wire form of table rows between nodes.
type packedRows struct {
	Data []byte `json:"data,omitempty"`
	// Packed is set if Data is compressed; Base is the value that it is compressed
	// against, if any.
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

// windowSize is the smallest window that spans n bytes, within the limits.
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

// errNoBase is returned for rows that were packed against a value not known here.
var errNoBase = errors.New("rows are packed against a base value that this node does not have")

// formerValues are earlier values of a row, the newest first.
type formerValues []formerValue

type formerValue struct {
	value  []byte
	digest valueDigest
}

// add adds a value, and drops the oldest ones beyond the limits.
func (f formerValues) add(v formerValue) formerValues {
	f = slices.Insert(f, 0, v)
	size, keep := 0, 0
	for _, x := range f[:min(len(f), maxFormerValues)] {
		if size += len(x.value); size > maxFormerBytes {
			break
		}
		keep++
	}
	clear(f[keep:])
	return f[:keep]
}

// find returns the value with a digest, nil if it is not kept.
func (f formerValues) find(d valueDigest) []byte {
	for _, x := range f {
		if x.digest == d {
			return x.value
		}
	}
	return nil
}

// packedKey identifies a packed answer for one state of a table.
type packedKey struct {
	whole bool
	first history.Position // The lowest one among the rows.
	base  rowRef
}
