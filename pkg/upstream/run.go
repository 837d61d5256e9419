package upstream

import "github.com/drumpath/drumpath/pkg/prompt"

// RunRequest asks an engine to run one prompt.
type RunRequest struct {
	RequestID string `json:"request_id"`
	Model     string `json:"model"`
	Weights   string `json:"weights"`
	Adapter   string `json:"adapter,omitempty"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Priority  int    `json:"priority"` // The greatest is the most urgent.
	// CacheSalt is the root key of the prompt's chain. Engines only match cached
	// blocks that were computed under the same salt.
	CacheSalt prompt.Key `json:"cache_salt"`
	// ResumeAfter is the number of answer tokens that the client already has.
	ResumeAfter int `json:"resume_after,omitempty"`
}

// Event is one message of an engine's answer stream.
type Event struct {
	RequestID string `json:"id"`
	// Index counts the answer's tokens from 0.
	Index int    `json:"index"`
	Text  string `json:"text,omitempty"`
	// CachedTokens is the number of prompt tokens taken from the cache. It is
	// set in the first event.
	CachedTokens int `json:"cached_tokens,omitempty"`
	// Done marks the last event; Index is then the number of tokens.
	Done bool `json:"done,omitempty"`
	// Error is set if the engine aborted the run.
	Error string `json:"error,omitempty"`
}

// Refusal is the answer of an engine or service that did not run a request.
type Refusal struct {
	NotRun bool   `json:"not_run"`
	Reason string `json:"reason"`
}

// Reasons of refusals.
const (
	ReasonWeights  = "weights"
	ReasonFull     = "full"
	ReasonDraining = "draining"
	ReasonFence    = "fence"
	ReasonNoSpace  = "no_space"
	ReasonGone     = "gone"
	ReasonChecksum = "checksum"
	// ReasonUnreachable means that no byte of the request was sent.
	ReasonUnreachable = "unreachable"
)
