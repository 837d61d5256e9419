package site

import "time"

// RequestInfo are what a request's head says of how it is to be served.
type RequestInfo struct {
	// ID is the client's name of this attempt.
	ID string
	// ClientTimeout is how long the client waits; 0 if it does not say.
	ClientTimeout time.Duration
	// Key is the API key, "" if there is none.
	Key   string
	Model string
	// Prompt are the parts of the prompt in order. All but the last may be
	// shared with other requests.
	Prompt []Part
	// MaxTokens is the most tokens to be generated.
	MaxTokens int
}

// PromptTokens is the length of the prompt.
func (t *RequestInfo) PromptTokens() int {
	n := 0
	for _, p := range t.Prompt {
		n += p.Tokens
	}
	return n
}

// Shared are the parts of the prompt that other requests may have in common.
func (t *RequestInfo) Shared() []Part {
	if len(t.Prompt) == 0 {
		return nil
	}
	return t.Prompt[:len(t.Prompt)-1]
}
