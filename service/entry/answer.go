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

// usage is the OpenAI-shaped account of tokens.
type usage struct {
	PromptTokens     int         `json:"prompt_tokens"`
	CompletionTokens int         `json:"completion_tokens"`
	TotalTokens      int         `json:"total_tokens"`
	PromptDetails    usageDetail `json:"prompt_tokens_details"`
}

type usageDetail struct {
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

// completion is the OpenAI-shaped answer, whole or a chunk of a stream.
type completion struct {
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
		CompletionTokens: r.tokens,
		TotalTokens:      r.chain.Tokens + r.tokens,
		PromptDetails:    usageDetail{CachedTokens: r.cached, Source: r.source},
	}
}

// message builds an answer or a chunk of one; finished marks the last.
func (r *Run) message(text string, chunk, finished bool) completion {
	m := completion{
		ID:      r.call.RequestID,
		Object:  objectText,
		Created: r.call.Received.Unix(),
		Model:   r.call.Model,
	}
	ch := choice{}
	switch {
	case r.call.Chat && chunk:
		m.Object = objectChatChunk
		ch.Delta = &chatMessage{Role: roleAssistant, Content: text}
	case r.call.Chat:
		m.Object = objectChat
		ch.Message = &chatMessage{Role: roleAssistant, Content: text}
	default:
		ch.Text = &text
	}
	if finished {
		reason := "stop"
		ch.FinishReason = &reason
		m.Usage = r.usage()
	}
	m.Choices = []choice{ch}
	return m
}

// answerWhole gathers the answer and sends it in one piece.
func (s *Server) answerWhole(c *fasthttp.RequestCtx, r *Run) {
	var text strings.Builder
	for {
		ev, f, err := r.Next()
		if errors.Is(err, io.EOF) {
			break
		}
		if f != nil {
			s.finishFailed(r, f)
			f.write(c)
			return
		}
		text.WriteString(ev.Text)
	}
	body, err := json.Marshal(r.message(text.String(), false, true))
	if err != nil {
		s.parts.Log.Error("answer not encoded", "request", r.call.RequestID, "err", err)
		return
	}
	c.SetContentType(jsonType)
	c.SetBody(body)
	s.finish(r, body)
}

// answerStream relays the answer token by token.
func (s *Server) answerStream(c *fasthttp.RequestCtx, r *Run) {
	chunks, err := newChunkWriter(r)
	if err != nil {
		s.parts.Log.Error("answer not encoded", "request", r.call.RequestID, "err", err)
		r.Close()
		s.leave()
		c.SetStatusCode(http.StatusInternalServerError)
		return
	}
	c.SetContentType(streamType)
	c.Response.ImmediateHeaderFlush = true
	c.SetBodyStreamWriter(func(w *bufio.Writer) {
		defer s.leave()
		defer r.Close()
		var text strings.Builder
		for {
			ev, f, err := r.Next()
			if errors.Is(err, io.EOF) {
				break
			}
			if f != nil {
				s.finishFailed(r, f)
				f.RequestID = r.call.RequestID
				// The status is sent already; the error event and the missing
				// end mark say that the answer is cut.
				_ = writeEvent(w, failureBody{Error: f}) // Nothing is left to say.
				return
			}
			if r.call.Once {
				text.WriteString(ev.Text)
			}
			if err := r.relay(w, chunks, ev); err != nil {
				s.parts.Metrics.CallersGone.Add(1)
				return
			}
		}
		if _, err := w.WriteString(streamEnd); err == nil {
			_ = w.Flush() // The answer is whole.
		}
		s.finishStream(r, text.String())
	})
}

// relay sends one event on.
func (r *Run) relay(w *bufio.Writer, chunks *chunkWriter, ev upstream.Event) error {
	if ev.Done {
		return writeEvent(w, r.message("", true, true))
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

// finishStream ends a run that was relayed whole; a repeat of a request that
// must not be repeated is answered with the whole text.
func (s *Server) finishStream(r *Run, text string) {
	if r.claim == nil {
		s.finish(r, nil)
		return
	}
	body, err := json.Marshal(r.message(text, false, true))
	if err != nil {
		s.parts.Log.Error("answer not encoded", "request", r.call.RequestID, "err", err)
	}
	s.finish(r, body)
}

func (s *Server) finish(r *Run, body []byte) {
	s.parts.Metrics.Answered.Add(1)
	if r.claim != nil {
		s.parts.Claims.Finish(r.claim, control.Result{Status: http.StatusOK, ContentType: jsonType, Body: body})
	}
	s.exports.consider(r)
}

func (s *Server) finishFailed(r *Run, f *Failure) {
	s.parts.Metrics.Cut.Add(1)
	r.log.Warn("answer aborted", "code", f.Code, "ran", f.Ran, "err", f.Message)
}
