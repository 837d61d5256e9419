package prompt

// Object is one kept run of blocks in a store, as the store names it.
type Object struct {
	Key        Key    `json:"key"` // The tail of the chain it holds.
	Chunks     int    `json:"chunks"`
	Generation uint64 `json:"generation"`
	Epoch      uint64 `json:"epoch"` // The store's boot epoch.
	Bytes      int64  `json:"bytes"`
	Checksum   uint64 `json:"checksum"`
}

// CacheLocation is a place that keeps the state of a prefix of a chain.
type CacheLocation struct {
	Upstream string `json:"upstream"`
	Chunks   int    `json:"chunks"` // Length of the prefix it shares.
	// Object names the kept run in a store; nil when an engine holds it hot.
	Object *Object `json:"object,omitempty"`
}

// Tokens is the length of the shared prefix.
func (h CacheLocation) Tokens() int { return h.Chunks * ChunkTokens }
