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
	Priority  int    `json:"priority"`
	// CacheSalt is the root of the prompt's chain; engines only match blocks
	// made under the same salt.
	CacheSalt prompt.Key `json:"cache_salt"`
	// ResumeAfter is how many answer tokens the caller has already.
	ResumeAfter int `json:"resume_after,omitempty"`
}

// Event is one message of an engine's answer stream.
type Event struct {
	RequestID string `json:"id"`
	// Index counts the answer's tokens from 0.
	Index int    `json:"index"`
	Text  string `json:"text,omitempty"`
	// CachedTokens is how much of the prompt was not recomputed; it comes with
	// the first event.
	CachedTokens int `json:"cached_tokens,omitempty"`
	// Done marks the last event; Index is then the number of tokens.
	Done bool `json:"done,omitempty"`
	// Error marks a run that the engine broke off.
	Error string `json:"error,omitempty"`
}

// Refusal is an engine's or service's answer that it did not run a request.
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
	// ReasonUnreachable is a request that never left.
	ReasonUnreachable = "unreachable"
)
