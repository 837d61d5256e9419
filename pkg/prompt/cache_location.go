package prompt

// Object is a sequence of KV blocks in a store, as the store identifies it.
type Object struct {
	Key        Key    `json:"key"` // Key of the last block.
	Chunks     int    `json:"chunks"`
	Generation uint64 `json:"generation"`
	Epoch      uint64 `json:"epoch"` // The store's boot epoch.
	Bytes      int64  `json:"bytes"`
	Checksum   uint64 `json:"checksum"`
}

// CacheLocation is an engine or store object that has the KV cache of a prefix of
// a chain.
type CacheLocation struct {
	Upstream string `json:"upstream"`
	Chunks   int    `json:"chunks"` // Length of the shared prefix.
	// Object is the object in a store, nil if an engine has the blocks in its own
	// cache.
	Object *Object `json:"object,omitempty"`
}

// Tokens returns the length of the shared prefix in tokens.
func (l CacheLocation) Tokens() int { return l.Chunks * ChunkTokens }
