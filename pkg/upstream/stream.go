package upstream

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

const (
	sseData           = "data: "
	sseEnd            = "[DONE]"
	maxSSELine        = 1 << 20
	initialReadBuffer = 4 << 10
	reasonEOF         = "connection ended"
	reasonOutOfOrder  = "token out of order"
	reasonNoEvent     = "too many bytes without an event"

	// maxSkipped bounds the bytes between two events that belong to none.
	maxSkipped = 256 << 10
	// maxDrained and maxDrainTime bound what is read of an answer after its last event so that its
	// connection can be used again.
	maxDrained   = 64 << 10
	maxDrainTime = 500 * time.Millisecond
)

// Stream reads one streamed answer of an engine.
//
// Every event must carry the request's id and the next index, so that a late
// answer or that of another request can't be taken for part of this one. Closing
// a stream that was not read to its end closes the connection: it must not be
// reused, as the rest of this answer may still arrive on it.
type Stream struct {
	upstream      string
	id            string
	nextIndex     int
	complete      bool
	resp          *fasthttp.Response
	body          io.Reader
	scanner       *bufio.Scanner
	detachContext func() bool
	interruptOnce sync.Once
	load          LoadReport
	hasLoad       bool
}

func newStream(ctx context.Context, name string, r RunRequest, resp *fasthttp.Response) *Stream {
	body := resp.BodyStream()
	var load LoadReport
	header := resp.Header.Peek(HeaderLoad)
	hasLoad := len(header) > 0 && json.Unmarshal(header, &load) == nil
	scanner := bufio.NewScanner(body)
	scanner.Buffer(make([]byte, 0, initialReadBuffer), maxSSELine)
	s := &Stream{
		upstream:  name,
		id:        r.RequestID,
		nextIndex: r.ResumeAfter,
		resp:      resp,
		body:      body,
		load:      load,
		hasLoad:   hasLoad,
		scanner:   scanner,
	}
	s.detachContext = context.AfterFunc(ctx, s.interrupt)
	return s
}

// interrupt ends a read that waits for the engine.
func (s *Stream) interrupt() {
	s.interruptOnce.Do(func() { _ = s.resp.CloseBodyStream() }) // The reader gets the error.
}

// Next returns the next event, and io.EOF after the last one. Any other error is
// a *TruncatedError or *MismatchError.
func (s *Stream) Next() (ev Event, err error) {
	if s.complete {
		return Event{}, io.EOF
	}
	for skipped := 0; s.scanner.Scan(); {
		data, ok := bytes.CutPrefix(s.scanner.Bytes(), []byte(sseData))
		if !ok || string(data) == sseEnd {
			if skipped += len(s.scanner.Bytes()) + 1; skipped > maxSkipped {
				return Event{}, s.truncated(reasonNoEvent)
			}
			continue
		}
		ev = Event{}
		if err := json.Unmarshal(data, &ev); err != nil {
			return Event{}, s.truncated(err.Error())
		}
		return ev, s.checkEvent(ev)
	}
	reason := reasonEOF
	if err := s.scanner.Err(); err != nil && !errors.Is(err, io.EOF) {
		reason = err.Error()
	}
	return Event{}, s.truncated(reason)
}

// checkEvent verifies that ev is the next event of this answer.
func (s *Stream) checkEvent(ev Event) error {
	switch {
	case ev.RequestID != s.id:
		return &MismatchError{Upstream: s.upstream, Want: s.id, Found: ev.RequestID}
	case ev.Error != "":
		return s.truncated(ev.Error)
	case ev.Index != s.nextIndex:
		return s.truncated(reasonOutOfOrder)
	case ev.Done:
		s.complete = true
	default:
		s.nextIndex++
	}
	return nil
}

func (s *Stream) truncated(reason string) error {
	return &TruncatedError{Upstream: s.upstream, Tokens: s.nextIndex, Reason: reason}
}

// Load returns the load report that came with the answer; ok is false if there
// was none.
func (s *Stream) Load() (r LoadReport, ok bool) { return s.load, s.hasLoad }

// Tokens returns the number of answer tokens that the client has, including those
// it had before a resumed run.
func (s *Stream) Tokens() int { return s.nextIndex }

// Close ends the stream. The connection is reused only if the whole answer was
// read.
func (s *Stream) Close() {
	if s.complete {
		// The end of the body follows the last event; the connection can only be
		// reused after that has been read.
		timer := time.AfterFunc(maxDrainTime, s.interrupt)
		_, _ = io.CopyN(io.Discard, s.body, maxDrained) // On an error only the connection is lost.
		if !timer.Stop() {
			s.detachContext()
			return // The timer may still use the response, so it is not released.
		}
	}
	if s.detachContext() {
		releaseResponse(s.resp)
	}
}
