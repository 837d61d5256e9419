package site

import "time"

// RequestInfo is what a request's headers say about how to serve it.
type RequestInfo struct {
	// ID is the client's ID of this attempt.
	ID string
	// ClientTimeout is how long the client waits; 0 if it does not say.
	ClientTimeout time.Duration
	// Key is the API key, "" if there is none.
	Key   string
	Model string
	// Prompt are the parts of the prompt in order. All but the last may be shared with
	// other requests.
	Prompt []Part
	// MaxTokens is the maximum number of tokens to generate.
	MaxTokens int
	// LengthHint is the client's estimate of the number of tokens, 0 if it gives none.
	LengthHint int
	// LastEvent is the last event that the client has of a stream that it takes up again, ""
	// for a new request.
	LastEvent string
	// BegunBy is the ID of the attempt that brought the stream's first event, "" if the client
	// does not name it.
	BegunBy string
}

// PromptTokens returns the length of the prompt in tokens.
func (i *RequestInfo) PromptTokens() int {
	n := 0
	for _, p := range i.Prompt {
		n += p.Tokens
	}
	return n
}

// Shared returns the parts of the prompt that other requests may share.
func (i *RequestInfo) Shared() []Part {
	if len(i.Prompt) == 0 {
		return nil
	}
	return i.Prompt[:len(i.Prompt)-1]
}
