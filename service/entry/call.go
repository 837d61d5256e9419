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

// Request headers, and headerReplayed, which marks a stored answer.
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

// Call is a validated request for a completion.
type Call struct {
	RequestMeta
	Model     string
	Adapter   string
	Prompt    string
	MaxTokens int
	Stream    bool
	Chat      bool
}

// RequestMeta is what the headers of any request say.
type RequestMeta struct {
	RequestID    string
	Organisation config.Organisation
	Received     time.Time
	// Deadline is zero if the client set none.
	Deadline time.Time
	Priority int
	// Once marks a request that must not run twice; Key then identifies it.
	Once       bool
	Key        string
	ReuseLabel string
}

// completionBody is the request body of both completion calls, in OpenAI format.
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

// parseRequestMeta reads the headers of a request.
func parseRequestMeta(c *fasthttp.RequestCtx, state *config.State, id string) (meta RequestMeta, failure *Failure) {
	meta = RequestMeta{RequestID: id, Received: time.Now()}
	token, ok := strings.CutPrefix(string(c.Request.Header.Peek(fasthttp.HeaderAuthorization)), "Bearer ")
	if ok {
		meta.Organisation, ok = state.OrganisationByKey(token)
	}
	if !ok {
		return meta, clientError(http.StatusUnauthorized, CodeUnauthorised, "no organisation has this API key")
	}
	if text := string(c.Request.Header.Peek(headerDeadline)); text != "" {
		d, err := time.ParseDuration(text)
		if err != nil || d <= 0 {
			return meta, badHeader(headerDeadline, text, "a duration from now such as 1500ms")
		}
		meta.Deadline = meta.Received.Add(d)
	}
	if text := string(c.Request.Header.Peek(headerPriority)); text != "" {
		p, err := strconv.Atoi(text)
		if err != nil || p < 0 || p > maxPriority {
			return meta, badHeader(headerPriority, text, "a whole number from 0 to 9")
		}
		meta.Priority = p
	}
	if text := string(c.Request.Header.Peek(headerOnce)); text != "" {
		once, err := strconv.ParseBool(text)
		if err != nil {
			return meta, badHeader(headerOnce, text, "true or false")
		}
		meta.Once = once
	}
	meta.Key = string(c.Request.Header.Peek(headerIdempotencyKey))
	if len(meta.Key) > maxKeyLength {
		return meta, badHeader(headerIdempotencyKey, meta.Key[:16]+"…", "at most 256 bytes")
	}
	if meta.Once && meta.Key == "" {
		return meta, badHeader(headerIdempotencyKey, "", "a key, as the request is marked "+headerOnce)
	}
	meta.ReuseLabel = string(c.Request.Header.Peek(headerReuseLabel))
	return meta, nil
}

func badHeader(name, found, wanted string) *Failure {
	return clientError(http.StatusBadRequest, CodeBadRequest, "header %s: found %q, wanted %s", name, found, wanted)
}

// parseCall parses and validates a completion request.
func parseCall(c *fasthttp.RequestCtx, state *config.State, meta RequestMeta, chat bool) (call *Call, f *Failure) {
	var body completionBody
	if err := json.Unmarshal(c.PostBody(), &body); err != nil {
		return nil, clientError(http.StatusBadRequest, CodeBadRequest, "body: %v", err)
	}
	call = &Call{
		RequestMeta: meta,
		Model:       body.Model,
		Adapter:     body.Adapter,
		MaxTokens:   defaultMaxTokens,
		Stream:      body.Stream,
		Chat:        chat,
	}
	if _, ok := state.Models[body.Model]; !ok {
		return nil, clientError(http.StatusNotFound, CodeUnknownModel, "model %q does not exist", body.Model)
	}
	if a, ok := state.Adapters[body.Adapter]; body.Adapter != "" && (!ok || a.Model != body.Model) {
		return nil, clientError(http.StatusNotFound, CodeUnknownAdapter, "model %q has no adapter %q", body.Model, body.Adapter)
	}
	if body.MaxTokens != nil {
		call.MaxTokens = *body.MaxTokens
	}
	if call.MaxTokens < 1 || call.MaxTokens > maxMaxTokens {
		return nil, clientError(http.StatusBadRequest, CodeBadRequest,
			"max_tokens: found %d, wanted 1 to %d", call.MaxTokens, maxMaxTokens)
	}
	switch {
	case chat && len(body.Messages) > 0:
		call.Prompt = chatPrompt(body.Messages)
	case !chat && body.Prompt != nil && *body.Prompt != "":
		call.Prompt = *body.Prompt
	case chat:
		return nil, clientError(http.StatusBadRequest, CodeBadRequest, "messages: at least one is wanted")
	default:
		return nil, clientError(http.StatusBadRequest, CodeBadRequest, "prompt: a text is wanted")
	}
	return call, nil
}

// chatPrompt joins messages into one prompt. A message's length goes before its
// content, so that no content can imitate another message.
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

// scope returns what requests must have in common to share a KV cache under the
// operator's rule.
func (call *Call) scope(state *config.State, weights string) prompt.Scope {
	rule, _ := state.RuleFor(call.Organisation.Name, call.Model)
	return prompt.Scope{
		Organisation: call.Organisation.Name,
		Model:        call.Model,
		Weights:      weights,
		Adapter:      call.Adapter,
		Reuse:        rule.Scope(call.ReuseLabel, call.RequestID),
	}
}
