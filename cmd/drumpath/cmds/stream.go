package cmds

import (
	"bufio"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

// streamed is what a caller saw of one streamed answer.
type streamed struct {
	text   string
	first  time.Duration // To the first token.
	last   time.Duration
	tokens int
	prompt int
	cached int
	source string
}

// streamChunk is the part of an answer's chunk that is read.
type streamChunk struct {
	ID      string `json:"id"`
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
	Error *answerError `json:"error"`
}

// answerError is the error body of the entry interface.
type answerError struct {
	Code             string `json:"code"`
	Ran              string `json:"ran"`
	Message          string `json:"message"`
	RetryAfterMillis int64  `json:"retry_after_ms"`
}

// Error gives code, certainty and message.
func (e *answerError) Error() string { return e.Code + " (" + e.Ran + "): " + e.Message }

const maxStreamLine = 1 << 20

// readStream reads a streamed answer to its end; an answer without its end mark
// is an error.
func readStream(resp *http.Response, start time.Time) (s streamed, err error) {
	if resp.StatusCode != http.StatusOK {
		var body struct {
			Error *answerError `json:"error"`
		}
		if err := json.NewDecoder(resp.Body).Decode(&body); err != nil || body.Error == nil {
			return s, eris.Errorf("status %d", resp.StatusCode)
		}
		return s, body.Error
	}
	var text strings.Builder
	scan := bufio.NewScanner(resp.Body)
	scan.Buffer(nil, maxStreamLine)
	ended := false
	for scan.Scan() {
		data, ok := strings.CutPrefix(scan.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			ended = true
			continue
		}
		var c streamChunk
		if err := json.Unmarshal([]byte(data), &c); err != nil {
			return s, err
		}
		if c.Error != nil {
			return s, c.Error
		}
		s.take(c, &text, time.Since(start))
	}
	if err := scan.Err(); err != nil {
		return s, err
	}
	if !ended {
		return s, eris.New("the answer was cut without an error")
	}
	s.text = text.String()
	return s, nil
}

// take adds a chunk that came after some time.
func (s *streamed) take(c streamChunk, text *strings.Builder, after time.Duration) {
	for _, ch := range c.Choices {
		if ch.Text == "" {
			continue
		}
		if s.tokens == 0 {
			s.first = after
		}
		s.tokens++
		s.last = after
		text.WriteString(ch.Text)
	}
	if c.Usage != nil {
		s.prompt = c.Usage.PromptTokens
		s.cached = c.Usage.Details.CachedTokens
		s.source = c.Usage.Details.Source
	}
}
