package prompt

import "sort"

const (
	// BytesPerToken is the number of bytes of text that count as one token.
	BytesPerToken = 4
	// ChunkTokens is the number of tokens of a chunk.
	ChunkTokens = 64
	// ChunkBytes is the length of a chunk in bytes.
	ChunkBytes = ChunkTokens * BytesPerToken
	// anchorChunks is the length of the prefix that selects the directory shard.
	anchorChunks = 4
	// markSpacing sets the distance between marks to a sixteenth of their
	// position, so that at most a sixteenth of a shared prefix is missed.
	markSpacing = 16
)

// Mark is a position of a chain at which cached KV state is looked up, with the key
// of the prefix that ends there.
type Mark struct {
	Chunks int `json:"c"`
	Key    Key `json:"k"`
}

// Chain is the identity of one prompt.
type Chain struct {
	Root Key
	// Marks are the lookup positions, shortest first. The last one is the end
	// of the last whole chunk.
	Marks []Mark
	// Tokens is the length of the whole prompt in tokens.
	Tokens int
}

// NewChain computes the chain of a prompt within a scope.
func NewChain(scope Scope, text string) Chain {
	c := Chain{Root: scope.Root(), Tokens: TokenCount(text)}
	wholeChunks := len(text) / ChunkBytes
	c.Marks = make([]Mark, 0, min(wholeChunks, 2*markSpacing+wholeChunks/markSpacing))
	key := c.Root
	for i := 1; i <= wholeChunks; i++ {
		key = key.next(text[(i-1)*ChunkBytes : i*ChunkBytes])
		if IsMark(i) || i == wholeChunks {
			c.Marks = append(c.Marks, Mark{Chunks: i, Key: key})
		}
	}
	return c
}

// Keys returns the key of every whole chunk of a text under a root. Engines use
// these keys for their blocks.
func Keys(root Key, text string) []Key {
	keys := make([]Key, len(text)/ChunkBytes)
	for i := range keys {
		root = root.next(text[i*ChunkBytes : (i+1)*ChunkBytes])
		keys[i] = root
	}
	return keys
}

// TokenCount returns the estimated number of tokens of a text.
func TokenCount(text string) int { return (len(text) + BytesPerToken - 1) / BytesPerToken }

// IsMark reports whether chains have a mark at this number of chunks.
func IsMark(chunks int) bool {
	i := sort.SearchInts(markPositions, chunks)
	return i < len(markPositions) && markPositions[i] == chunks
}

// maxMarkChunks bounds the marks table: 4 million tokens.
const maxMarkChunks = 1 << 16

var markPositions = newMarkPositions()

func newMarkPositions() []int {
	var list []int
	for i := 1; i <= maxMarkChunks; i += max(1, i/markSpacing) {
		list = append(list, i)
	}
	return list
}

// Anchor returns the key that selects the chain's directory shard. All chains that
// share a prefix of at least anchorChunks chunks have the same anchor.
func (c Chain) Anchor() Key {
	if len(c.Marks) == 0 {
		return c.Root
	}
	return c.Marks[min(anchorChunks, len(c.Marks))-1].Key
}

// AnchorChunks is the number of chunks up to the anchor in chains that are long
// enough.
const AnchorChunks = anchorChunks

// Tail returns the last mark; ok is false for a prompt shorter than one chunk.
func (c Chain) Tail() (m Mark, ok bool) {
	if len(c.Marks) == 0 {
		return Mark{}, false
	}
	return c.Marks[len(c.Marks)-1], true
}
