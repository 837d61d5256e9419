package prompt

import "sort"

const (
	// BytesPerToken is how many bytes of text are counted as one token.
	BytesPerToken = 4
	// ChunkTokens is the number of tokens of a chunk.
	ChunkTokens = 64
	// ChunkBytes is the length of a chunk in bytes.
	ChunkBytes = ChunkTokens * BytesPerToken
	// anchorChunks is how many chunks the anchor covers.
	anchorChunks = 4
	// markSpread sets the distance between marks: a sixteenth of the position,
	// so that at most a sixteenth of a shared prefix goes unnoticed.
	markSpread = 16
)

// Mark is a position of a chain at which state is looked up.
type Mark struct {
	Chunks int `json:"c"`
	Key    Key `json:"k"`
}

// Chain is the identity of one prompt.
type Chain struct {
	Root Key
	// Marks are the positions that are looked up, shortest first; the last is
	// the last whole chunk.
	Marks []Mark
	// Tokens is the length of the whole prompt.
	Tokens int
}

// NewChain works out the identity of a prompt within a scope.
func NewChain(scope Scope, text string) Chain {
	c := Chain{Root: scope.Root(), Tokens: TokenCount(text)}
	whole := len(text) / ChunkBytes
	c.Marks = make([]Mark, 0, min(whole, 2*markSpread+whole/markSpread))
	k := c.Root
	for i := 1; i <= whole; i++ {
		k = k.next(text[(i-1)*ChunkBytes : i*ChunkBytes])
		if IsMark(i) || i == whole {
			c.Marks = append(c.Marks, Mark{Chunks: i, Key: k})
		}
	}
	return c
}

// Keys returns the key of every whole chunk of a text under a root; engines
// name their blocks so.
func Keys(root Key, text string) []Key {
	keys := make([]Key, len(text)/ChunkBytes)
	for i := range keys {
		root = root.next(text[i*ChunkBytes : (i+1)*ChunkBytes])
		keys[i] = root
	}
	return keys
}

// TokenCount returns the number of tokens that a text is counted as.
func TokenCount(text string) int { return (len(text) + BytesPerToken - 1) / BytesPerToken }

// IsMark says whether chains are looked up at this number of chunks.
func IsMark(chunks int) bool {
	i := sort.SearchInts(markPositions, chunks)
	return i < len(markPositions) && markPositions[i] == chunks
}

// maxMarkChunks bounds the marks table: 4 million tokens.
const maxMarkChunks = 1 << 16

var markPositions = newMarkPositions()

func newMarkPositions() []int {
	var list []int
	for i := 1; i <= maxMarkChunks; i += max(1, i/markSpread) {
		list = append(list, i)
	}
	return list
}

// Anchor is the key by which a chain's directory shard is chosen; all chains
// that share a prefix of at least anchorChunks chunks have the same.
func (c Chain) Anchor() Key {
	if len(c.Marks) == 0 {
		return c.Root
	}
	return c.Marks[min(anchorChunks, len(c.Marks))-1].Key
}

// AnchorChunks is the position of the anchor in chains that are long enough.
const AnchorChunks = anchorChunks

// Tail returns the longest mark; ok is false for a prompt under one chunk.
func (c Chain) Tail() (m Mark, ok bool) {
	if len(c.Marks) == 0 {
		return Mark{}, false
	}
	return c.Marks[len(c.Marks)-1], true
}
