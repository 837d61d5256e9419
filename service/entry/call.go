package entry

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/drumpath/drumpath/pkg/config"
	"github.com/drumpath/drumpath/pkg/prompt"
)

// Headers that callers may send.
const (
	headerRequestID      = "X-Request-Id"
	headerIdempotencyKey = "Idempotency-Key"
	headerOnce           = "Drumpath-Once"
	headerDeadline       = "Drumpath-Deadline"
	headerPriority       = "Drumpath-Priority"
	headerReuseLabel     = "Drumpath-Reuse-Label"
	headerReplayed       = "Drumpath-Replayed"
)

const (
	defaultMaxTokens = 64
	maxMaxTokens     = 32_768
	maxPriority      = 9
	maxKeyLength     = 256
)

// Call is one request for a completion, checked.
type Call struct {
	Terms
	Model     string
	Adapter   string
	Prompt    string
	MaxTokens int
	Stream    bool
	Chat      bool
}

// Terms are what any request may ask for besides its content.
type Terms struct {
	RequestID    string
	Organisation config.Organisation
	Received     time.Time
	// Deadline is zero if the caller set none.
	Deadline time.Time
	Priority int
	// Once marks a request that must not be repeated; Key then names it.
	Once       bool
	Key        string
	ReuseLabel string
}

// completionBody is the OpenAI-shaped body of both completion calls.
type completionBody struct {
	Model     string        `json:"model"`
	Adapter   string        `json:"adapter"`
	Prompt    *string       `json:"prompt"`
	Messages  []chatMessage `json:"messages"`
	MaxTokens *int          `json:"max_tokens"`
	Stream    bool          `json:"stream"`
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// parseTerms reads the headers of a request.
func parseTerms(c *fasthttp.RequestCtx, s *config.State, id string) (t Terms, f *Failure) {
	t = Terms{RequestID: id, Received: time.Now()}
	token, ok := strings.CutPrefix(string(c.Request.Header.Peek(fasthttp.HeaderAuthorization)), "Bearer ")
	if ok {
		t.Organisation, ok = s.OrganisationByKey(token)
	}
	if !ok {
		return t, callerFault(http.StatusUnauthorized, CodeUnauthorised, "no organisation has this API key")
	}
	if text := string(c.Request.Header.Peek(headerDeadline)); text != "" {
		d, err := time.ParseDuration(text)
		if err != nil || d <= 0 {
			return t, badHeader(headerDeadline, text, "a duration from now such as 1500ms")
		}
		t.Deadline = t.Received.Add(d)
	}
	if text := string(c.Request.Header.Peek(headerPriority)); text != "" {
		p, err := strconv.Atoi(text)
		if err != nil || p < 0 || p > maxPriority {
			return t, badHeader(headerPriority, text, "a whole number from 0 to 9")
		}
		t.Priority = p
	}
	if text := string(c.Request.Header.Peek(headerOnce)); text != "" {
		once, err := strconv.ParseBool(text)
		if err != nil {
			return t, badHeader(headerOnce, text, "true or false")
		}
		t.Once = once
	}
	t.Key = string(c.Request.Header.Peek(headerIdempotencyKey))
	if len(t.Key) > maxKeyLength {
		return t, badHeader(headerIdempotencyKey, t.Key[:16]+"…", "at most 256 bytes")
	}
	if t.Once && t.Key == "" {
		return t, badHeader(headerIdempotencyKey, "", "a key, as the request is marked "+headerOnce)
	}
	t.ReuseLabel = string(c.Request.Header.Peek(headerReuseLabel))
	return t, nil
}

func badHeader(name, found, wanted string) *Failure {
	return callerFault(http.StatusBadRequest, CodeBadRequest, "header %s: found %q, wanted %s", name, found, wanted)
}

// parseCall reads a completion request.
func parseCall(c *fasthttp.RequestCtx, s *config.State, t Terms, chat bool) (call *Call, f *Failure) {
	var b completionBody
	if err := json.Unmarshal(c.PostBody(), &b); err != nil {
		return nil, callerFault(http.StatusBadRequest, CodeBadRequest, "body: %v", err)
	}
	call = &Call{
		Terms:     t,
		Model:     b.Model,
		Adapter:   b.Adapter,
		MaxTokens: defaultMaxTokens,
		Stream:    b.Stream,
		Chat:      chat,
	}
	if _, ok := s.Models[b.Model]; !ok {
		return nil, callerFault(http.StatusNotFound, CodeNoModel, "model %q does not exist", b.Model)
	}
	if a, ok := s.Adapters[b.Adapter]; b.Adapter != "" && (!ok || a.Model != b.Model) {
		return nil, callerFault(http.StatusNotFound, CodeNoAdapter, "model %q has no adapter %q", b.Model, b.Adapter)
	}
	if b.MaxTokens != nil {
		call.MaxTokens = *b.MaxTokens
	}
	if call.MaxTokens < 1 || call.MaxTokens > maxMaxTokens {
		return nil, callerFault(http.StatusBadRequest, CodeBadRequest,
			"max_tokens: found %d, wanted 1 to %d", call.MaxTokens, maxMaxTokens)
	}
	switch {
	case chat && len(b.Messages) > 0:
		call.Prompt = chatPrompt(b.Messages)
	case !chat && b.Prompt != nil && *b.Prompt != "":
		call.Prompt = *b.Prompt
	case chat:
		return nil, callerFault(http.StatusBadRequest, CodeBadRequest, "messages: at least one is wanted")
	default:
		return nil, callerFault(http.StatusBadRequest, CodeBadRequest, "prompt: a text is wanted")
	}
	return call, nil
}

// chatPrompt joins messages into one prompt. A message's length goes before its
// content, so that no content can pass for another message.
func chatPrompt(messages []chatMessage) string {
	var b strings.Builder
	for _, m := range messages {
		b.WriteString(m.Role)
		b.WriteByte(' ')
		b.WriteString(strconv.Itoa(len(m.Content)))
		b.WriteByte('\n')
		b.WriteString(m.Content)
		b.WriteByte('\n')
	}
	return b.String()
}

// scope is what must be equal for another request to share state with this
// one, by the operator's rule.
func (call *Call) scope(s *config.State, weights string) prompt.Scope {
	rule, _ := s.RuleFor(call.Organisation.Name, call.Model)
	return prompt.Scope{
		Organisation: call.Organisation.Name,
		Model:        call.Model,
		Weights:      weights,
		Adapter:      call.Adapter,
		Reuse:        rule.Scope(call.ReuseLabel, call.RequestID),
	}
}
