package entry

import (
	"bufio"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strings"

	"github.com/valyala/fasthttp"

	"github.com/drumpath/drumpath/pkg/control"
	"github.com/drumpath/drumpath/pkg/upstream"
)

// usage is the token usage in OpenAI format.
type usage struct {
	PromptTokens     int                 `json:"prompt_tokens"`
	CompletionTokens int                 `json:"completion_tokens"`
	TotalTokens      int                 `json:"total_tokens"`
	PromptDetails    promptTokensDetails `json:"prompt_tokens_details"`
}

type promptTokensDetails struct {
	CachedTokens int    `json:"cached_tokens"`
	Source       string `json:"source"`
}

type choice struct {
	Index        int          `json:"index"`
	Text         *string      `json:"text,omitempty"`
	Message      *chatMessage `json:"message,omitempty"`
	Delta        *chatMessage `json:"delta,omitempty"`
	FinishReason *string      `json:"finish_reason"`
}

// completionResponse is an answer in OpenAI format, whole or one chunk of a stream.
type completionResponse struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

const (
	objectText      = "text_completion"
	objectChat      = "chat.completion"
	objectChatChunk = "chat.completion.chunk"
	roleAssistant   = "assistant"
	streamType      = "text/event-stream"
	streamEnd       = "data: [DONE]\n\n"
)

func (r *Run) usage() *usage {
	return &usage{
		PromptTokens:     r.chain.Tokens,
		CompletionTokens: r.completionTokens,
		TotalTokens:      r.chain.Tokens + r.completionTokens,
		PromptDetails:    promptTokensDetails{CachedTokens: r.cachedTokens, Source: r.source},
	}
}

// response builds a whole answer or one chunk; finished adds the finish reason and usage.
func (r *Run) response(text string, chunk, finished bool) completionResponse {
	response := completionResponse{
		ID:      r.call.RequestID,
		Object:  objectText,
		Created: r.call.Received.Unix(),
		Model:   r.call.Model,
	}
	c := choice{}
	switch {
	case r.call.Chat && chunk:
		response.Object = objectChatChunk
		c.Delta = &chatMessage{Role: roleAssistant, Content: text}
	case r.call.Chat:
		response.Object = objectChat
		c.Message = &chatMessage{Role: roleAssistant, Content: text}
	default:
		c.Text = &text
	}
	if finished {
		reason := "stop"
		c.FinishReason = &reason
		response.Usage = r.usage()
	}
	response.Choices = []choice{c}
	return response
}

// sendWhole collects the answer and sends it in one piece.
func (s *Server) sendWhole(c *fasthttp.RequestCtx, r *Run) {
	var text strings.Builder
	for {
		ev, f, err := r.Next()
		if errors.Is(err, io.EOF) {
			break
		}
		if f != nil {
			s.recordAborted(r, f)
			f.write(c)
			return
		}
		text.WriteString(ev.Text)
	}
	body, err := json.Marshal(r.response(text.String(), false, true))
	if err != nil {
		s.deps.Log.Error("answer not encoded", "request", r.call.RequestID, "err", err)
		return
	}
	c.SetContentType(jsonType)
	c.SetBody(body)
	s.recordAnswered(r, body)
}

// sendStream forwards the answer token by token.
func (s *Server) sendStream(c *fasthttp.RequestCtx, r *Run) {
	chunks, err := newChunkWriter(r)
	if err != nil {
		s.deps.Log.Error("answer not encoded", "request", r.call.RequestID, "err", err)
		r.Close()
		s.requestDone()
		c.SetStatusCode(http.StatusInternalServerError)
		return
	}
	c.SetContentType(streamType)
	c.Response.ImmediateHeaderFlush = true
	c.SetBodyStreamWriter(func(w *bufio.Writer) {
		defer s.requestDone()
		defer r.Close()
		var text strings.Builder
		for {
			ev, f, err := r.Next()
			if errors.Is(err, io.EOF) {
				break
			}
			if f != nil {
				s.recordAborted(r, f)
				f.RequestID = r.call.RequestID
				// The status has been sent; the error event and the missing
				// streamEnd tell the client that the answer is incomplete.
				_ = writeEvent(w, failureBody{Error: f}) // The stream ends either way.
				return
			}
			if r.call.Once {
				text.WriteString(ev.Text)
			}
			if err := r.forwardEvent(w, chunks, ev); err != nil {
				s.deps.Metrics.ClientsGone.Add(1)
				return
			}
		}
		if _, err := w.WriteString(streamEnd); err == nil {
			_ = w.Flush() // The run is complete even if the client has disconnected.
		}
		s.recordStreamAnswered(r, text.String())
	})
}

// forwardEvent sends one event to the client.
func (r *Run) forwardEvent(w *bufio.Writer, chunks *chunkWriter, ev upstream.Event) error {
	if ev.Done {
		return writeEvent(w, r.response("", true, true))
	}
	return chunks.write(w, ev.Text)
}

func writeEvent(w *bufio.Writer, v any) error {
	body, err := json.Marshal(v)
	if err != nil {
		return err
	}
	_, _ = w.WriteString("data: ") // Flush reports it.
	_, _ = w.Write(body)           // Flush reports it.
	_, _ = w.WriteString("\n\n")   // Flush reports it.
	return w.Flush()
}

// recordStreamAnswered records a completely streamed answer. With a claim it stores the whole
// text, which answers a repeat of the request.
func (s *Server) recordStreamAnswered(r *Run, text string) {
	if r.claim == nil {
		s.recordAnswered(r, nil)
		return
	}
	body, err := json.Marshal(r.response(text, false, true))
	if err != nil {
		// The claim stays as it is: an empty answer must not be given to a repeat.
		s.deps.Log.Error("answer not encoded", "request", r.call.RequestID, "err", err)
		s.deps.Metrics.Answered.Add(1)
		return
	}
	s.recordAnswered(r, body)
}

func (s *Server) recordAnswered(r *Run, body []byte) {
	s.deps.Metrics.Answered.Add(1)
	if r.claim != nil {
		s.deps.Claims.Finish(r.claim, control.Result{Status: http.StatusOK, ContentType: jsonType, Body: body})
	}
	s.exports.exportIfWorthwhile(r)
}

func (s *Server) recordAborted(r *Run, f *Failure) {
	s.deps.Metrics.Cut.Add(1)
	r.log.Warn("answer aborted", "code", f.Code, "ran", f.Ran, "err", f.Message)
}
