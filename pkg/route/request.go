package route

import (
	"errors"
	"time"

	"github.com/drumpath/drumpath/pkg/prompt"
)

// Request is what placement knows of a request.
type Request struct {
	Model    string
	Weights  string
	DataHall string // Of this node.
	Chain    prompt.Chain
	Match    prompt.Match
	Exclude  []string // Replicas that have already failed it.
}

// Import is the decision to fetch kept state first.
type Import struct {
	Store  string        `json:"store"`
	Object prompt.Object `json:"object"`
	Chunks int           `json:"chunks"` // How much of the object.
	Bytes  int64         `json:"bytes"`
	// Timeout is after how long recomputing is the better way.
	Timeout time.Duration `json:"give_up_ns"`
}

// Decision says where a request runs.
type Decision struct {
	Replica   string        `json:"replica"`
	Cached    int           `json:"cached_tokens"`    // Expected hot.
	Recompute int           `json:"recompute_tokens"` // Expected to be computed.
	Import    *Import       `json:"import,omitempty"`
	Wait      time.Duration `json:"wait_ns"`
	Fetch     time.Duration `json:"fetch_ns"`
	Prefill   time.Duration `json:"prefill_ns"`
	Score     float64       `json:"score"` // Seconds, weighted.
}

// FirstToken is the estimated time to the first token.
func (d Decision) FirstToken() time.Duration { return max(d.Wait, d.Fetch) + d.Prefill }

// ErrNoReplica says that no replica may take the request now.
var ErrNoReplica = errors.New("no replica may take it")
