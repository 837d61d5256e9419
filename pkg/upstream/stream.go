package upstream

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"

	"github.com/valyala/fasthttp"
)

const (
	sseData     = "data: "
	sseEnd      = "[DONE]"
	maxSSELine  = 1 << 20
	streamRead  = 4 << 10
	reasonEOF   = "connection ended"
	reasonOrder = "token out of order"
)

// Stream reads one answer of an engine.
//
// Every event must carry the request's id and the next index, so a late or
// crossed answer can't be taken for part of this one. Closing a stream that was
// not read to its end closes the connection: it must never serve another
// request, as the rest of this answer may still arrive on it.
type Stream struct {
	upstream string
	id       string
	next     int
	whole    bool
	resp     *fasthttp.Response
	body     io.Reader
	scan     *bufio.Scanner
	stop     func() bool
	load     LoadReport
	loaded   bool
}

func newStream(ctx context.Context, name string, r RunRequest, resp *fasthttp.Response) *Stream {
	body := resp.BodyStream()
	var load LoadReport
	header := resp.Header.Peek(HeaderLoad)
	loaded := len(header) > 0 && json.Unmarshal(header, &load) == nil
	scan := bufio.NewScanner(body)
	scan.Buffer(make([]byte, 0, streamRead), maxSSELine)
	return &Stream{
		upstream: name,
		id:       r.RequestID,
		next:     r.ResumeAfter,
		resp:     resp,
		body:     body,
		load:     load,
		loaded:   loaded,
		scan:     scan,
		// Ending the context interrupts a read that waits for the engine.
		stop: context.AfterFunc(ctx, func() { _ = resp.CloseBodyStream() }), // The reader sees it.
	}
}

// Next returns the next event. After the last one it returns io.EOF; any other
// error is a *TruncatedError or *MismatchError.
func (s *Stream) Next() (ev Event, err error) {
	if s.whole {
		return Event{}, io.EOF
	}
	for s.scan.Scan() {
		data, ok := bytes.CutPrefix(s.scan.Bytes(), []byte(sseData))
		if !ok || string(data) == sseEnd {
			continue
		}
		ev = Event{}
		if err := json.Unmarshal(data, &ev); err != nil {
			return Event{}, s.broken(err.Error())
		}
		return ev, s.check(ev)
	}
	reason := reasonEOF
	if err := s.scan.Err(); err != nil && !errors.Is(err, io.EOF) {
		reason = err.Error()
	}
	return Event{}, s.broken(reason)
}

// check verifies that an event is the next one of this answer.
func (s *Stream) check(ev Event) error {
	switch {
	case ev.RequestID != s.id:
		return &MismatchError{Upstream: s.upstream, Want: s.id, Found: ev.RequestID}
	case ev.Error != "":
		return s.broken(ev.Error)
	case ev.Index != s.next:
		return s.broken(reasonOrder)
	case ev.Done:
		s.whole = true
	default:
		s.next++
	}
	return nil
}

func (s *Stream) broken(reason string) error {
	return &TruncatedError{Upstream: s.upstream, Tokens: s.next, Reason: reason}
}

// Load returns the engine's load report that came with the answer; ok is false
// if there was none.
func (s *Stream) Load() (r LoadReport, ok bool) { return s.load, s.loaded }

// Tokens is how many answer tokens the caller has, counted from the answer's
// first.
func (s *Stream) Tokens() int { return s.next }

// Close ends the stream; the connection is kept only if the whole answer was
// read.
func (s *Stream) Close() {
	if s.whole {
		// The end of the body follows the last event; reading it frees the
		// connection for reuse.
		_, _ = io.Copy(io.Discard, s.body) // A failed drain only costs the connection.
	}
	if s.stop() {
		closeResponse(s.resp)
	}
}
