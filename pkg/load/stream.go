package load

import (
	"bufio"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

// StreamResult is one streamed answer with its timing.
type StreamResult struct {
	Text         string
	FirstToken   time.Duration // Time to the first token.
	LastToken    time.Duration
	Tokens       int
	PromptTokens int
	CachedTokens int
	Source       string
}

// streamChunk has the fields used from a chunk of the answer.
type streamChunk struct {
	Choices []struct {
		Text string `json:"text"`
	} `json:"choices"`
	Usage *struct {
		PromptTokens int `json:"prompt_tokens"`
		Details      struct {
			CachedTokens int    `json:"cached_tokens"`
			Source       string `json:"source"`
		} `json:"prompt_tokens_details"`
	} `json:"usage"`
	Error *AnswerError `json:"error"`
}

// AnswerError is the error body of the entry interface.
type AnswerError struct {
	Code             string `json:"code"`
	Ran              string `json:"ran"`
	Message          string `json:"message"`
	RetryAfterMillis int64  `json:"retry_after_ms"`
}

// Error returns the code, whether the request ran, and the message.
func (e *AnswerError) Error() string { return e.Code + " (" + e.Ran + "): " + e.Message }

const maxStreamLine = 1 << 20

// ReadStream reads a streamed answer to its end. An answer without the final
// [DONE] is an error.
func ReadStream(resp *http.Response, start time.Time) (s StreamResult, err error) {
	if resp.StatusCode != http.StatusOK {
		return s, readError(resp)
	}
	var text strings.Builder
	scanner := bufio.NewScanner(resp.Body)
	scanner.Buffer(nil, maxStreamLine)
	complete := false
	for scanner.Scan() {
		data, ok := strings.CutPrefix(scanner.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			complete = true
			continue
		}
		var c streamChunk
		if err := json.Unmarshal([]byte(data), &c); err != nil {
			return s, err
		}
		if c.Error != nil {
			return s, c.Error
		}
		s.addChunk(c, &text, time.Since(start))
	}
	if err := scanner.Err(); err != nil {
		return s, err
	}
	if !complete {
		return s, eris.New("answer ended without [DONE]")
	}
	s.Text = text.String()
	return s, nil
}

func readError(resp *http.Response) error {
	var body struct {
		Error *AnswerError `json:"error"`
	}
	if err := json.NewDecoder(resp.Body).Decode(&body); err != nil || body.Error == nil {
		return eris.Errorf("answer with status %d has no readable error", resp.StatusCode)
	}
	return body.Error
}

// addChunk adds a chunk that arrived the given time after the start.
func (s *StreamResult) addChunk(c streamChunk, text *strings.Builder, after time.Duration) {
	for _, ch := range c.Choices {
		if ch.Text == "" {
			continue
		}
		if s.Tokens == 0 {
			s.FirstToken = after
		}
		s.Tokens++
		s.LastToken = after
		text.WriteString(ch.Text)
	}
	if c.Usage != nil {
		s.PromptTokens = c.Usage.PromptTokens
		s.CachedTokens = c.Usage.Details.CachedTokens
		s.Source = c.Usage.Details.Source
	}
}
