package http1

import "io"

const (
	// firstPiece is the size of the first piece of a body of unknown length. Each further one has
	// a quarter of what has been read, as the last one may stay almost empty, up to maxPiece.
	firstPiece  = 8 << 10
	growthShare = 4
	maxPiece    = 1 << 20
)

// ReadPieces reads a body of at most limit bytes without copying what it has read to a larger
// buffer. Before it allocates n bytes it calls reserve(n), which may block; meanwhile nothing is
// read from the connection.
func ReadPieces(b *Body, limit int, reserve func(n int) error) (pieces [][]byte, err error) {
	if b.framing == FramingLength && b.remaining > int64(limit) {
		return nil, ErrBodyTooLarge
	}
	total, size := 0, firstPiece
	if b.framing == FramingLength {
		size = int(b.remaining)
	}
	for !b.done {
		size = min(size, limit-total+1) // One byte more shows that the body is too large.
		if err := reserve(size); err != nil {
			return nil, err
		}
		piece := make([]byte, size)
		n, err := io.ReadFull(b, piece)
		if total += n; total > limit {
			return nil, ErrBodyTooLarge
		}
		if n > 0 {
			pieces = append(pieces, piece[:n])
		}
		if err != nil && !b.done {
			return nil, eofAsTruncated(err)
		}
		size = min(max(firstPiece, total/growthShare), maxPiece)
	}
	return pieces, nil
}
