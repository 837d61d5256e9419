package route

import (
	"errors"
	"time"

	"github.com/drumpath/drumpath/pkg/prompt"
)

// Request is what placement needs to know of a request.
type Request struct {
	Model    string
	Weights  string
	DataHall string // The data hall of this node.
	Chain    prompt.Chain
	Match    prompt.Match
	Exclude  []string // Replicas at which it has already failed.
}

// Import is the decision to fetch KV blocks from a KV cache store before the prefill.
type Import struct {
	Store  string        `json:"store"`
	Object prompt.Object `json:"object"`
	Chunks int           `json:"chunks"` // Chunks of the object to fetch.
	Bytes  int64         `json:"bytes"`
	// Timeout is the time after which recomputing is faster.
	Timeout time.Duration `json:"give_up_ns"`
}

// Decision is the placement of a request.
type Decision struct {
	Replica   string        `json:"replica"`
	Cached    int           `json:"cached_tokens"`    // Expected in the replica's cache.
	Recompute int           `json:"recompute_tokens"` // Expected to be prefilled.
	Import    *Import       `json:"import,omitempty"`
	Wait      time.Duration `json:"wait_ns"`
	Fetch     time.Duration `json:"fetch_ns"`
	Prefill   time.Duration `json:"prefill_ns"`
	Score     float64       `json:"score"` // Weighted seconds.
}

// FirstToken is the estimated time to the first token.
func (d Decision) FirstToken() time.Duration { return max(d.Wait, d.Fetch) + d.Prefill }

// ErrNoReplica is returned if no replica may take the request now.
var ErrNoReplica = errors.New("no replica may take it")
