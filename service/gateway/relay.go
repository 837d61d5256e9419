package gateway

import (
	"bytes"
	"context"
	"io"
	"strconv"

	"github.com/drumpath/drumpath/pkg/boottime"
	"github.com/drumpath/drumpath/pkg/http1"
	"github.com/drumpath/drumpath/pkg/route"
)

// relay passes a stream of events on to the client.
//
// Only whole events are passed on, each as soon as its end has come, so that a
// stream can go on from another replica behind the last of them. The head and
// the first event go out together: until then the request may still be tried
// elsewhere.
type relay struct {
	out    *clientWriter
	head   *http1.Head // Of the first replica's answer.
	lastID string      // Of the last event that was passed on.
	// held are bytes of an event whose end has not come.
	held []byte
}

// Sizes of relaying, in bytes.
const (
	relayBuffer = 8 << 10
	// maxEvent is the largest event that is held back; a larger one is passed
	// on in pieces.
	maxEvent = 256 << 10
)

// takeStream passes a replica's stream on. If it breaks off, a resumable one
// goes on elsewhere.
func (x *exchange) takeStream(ctx context.Context, a *attempt) (bool, refusal) {
	first := x.stream == nil
	r := x.stream
	if first {
		r = &relay{out: x.out, head: a.head}
	}
	r.held = nil
	err := x.copyEvents(r, a)
	now := boottime.Now()
	if x.out.begun {
		x.stream = r
	}
	if err == nil {
		a.end(route.OutcomeOK, now)
		a.answered = true
		x.finished(now)
		r.finish()
		x.logAnswer(a, now)
		return false, refusal{}
	}
	a.end(x.outcomeOf(ctx), now)
	x.lostRun(ctx, a, err, now)
	if ctx.Err() != nil {
		x.dropResting(a, now)
		return false, x.outOfTime()
	}
	if x.out.failed {
		return false, refusal{}
	}
	x.g.log.Warn("stream broke off", "request", x.terms.ID, "content", x.fingerprint(), "replica", a.choice.ID, "last_event", r.lastID, "err", err)
	return x.repeat(a.choice.ID, now)
}

// copyEvents passes events on until the stream's end, which it returns nil for.
func (x *exchange) copyEvents(r *relay, a *attempt) error {
	buf := make([]byte, relayBuffer)
	for {
		n, err := a.body.Read(buf)
		if n > 0 {
			now := boottime.Now()
			x.first(a, now)
			a.gap(now)
			r.take(buf[:n])
		}
		switch {
		case x.out.failed:
			return errClientLeft
		case err == io.EOF && a.body.Framing() == http1.FramingClose && len(r.held) > 0:
			// It ended inside an event, so the connection was cut.
			return http1.ErrBodyTruncated
		case err == io.EOF:
			return nil
		case err != nil:
			return err
		}
	}
}

// take passes on the events that are whole with these bytes.
func (r *relay) take(b []byte) {
	r.held = append(r.held, b...)
	end := lastEventEnd(r.held)
	if end == 0 && len(r.held) > maxEvent {
		end = len(r.held)
	}
	if end == 0 {
		return
	}
	events := r.skipKnown(r.held[:end])
	if len(events) > 0 {
		r.pass(events)
	}
	r.held = append([]byte(nil), r.held[end:]...)
}

// skipKnown drops events at the front that were passed on before: a replica may
// send some of them again when a stream goes on.
func (r *relay) skipKnown(events []byte) []byte {
	for len(events) > 0 && r.lastID != "" {
		end := firstEventEnd(events)
		if end == 0 || !notAfter(eventID(events[:end]), r.lastID) {
			return events
		}
		events = events[end:]
	}
	return events
}

// notAfter says whether an event's number is known not to be behind another's.
func notAfter(id, last string) bool {
	a, errA := strconv.ParseInt(id, 10, 64)
	b, errB := strconv.ParseInt(last, 10, 64)
	return errA == nil && errB == nil && a <= b
}

func (r *relay) pass(events []byte) {
	if id := lastEventID(events); id != "" {
		r.lastID = id
	}
	if !r.out.begun {
		r.out.begin(r.head.Status, r.head.EndToEnd(), events)
		return
	}
	r.out.more(events)
}

// finish ends the stream, with what is held.
func (r *relay) finish() {
	if len(r.held) > 0 {
		r.pass(r.held)
		r.held = nil
	}
	if !r.out.begun {
		r.out.begin(r.head.Status, r.head.EndToEnd(), nil)
	}
	r.out.end()
}

// eventEnds are the blank lines that end an event.
var eventEnds = [][]byte{[]byte("\n\n"), []byte("\r\n\r\n")}

// lastEventEnd is where the last whole event ends, 0 if there is none.
func lastEventEnd(b []byte) int {
	end := 0
	for _, sep := range eventEnds {
		if i := bytes.LastIndex(b, sep); i >= 0 {
			end = max(end, i+len(sep))
		}
	}
	return end
}

// firstEventEnd is where the first event ends, 0 if it is not whole.
func firstEventEnd(b []byte) int {
	end := 0
	for _, sep := range eventEnds {
		if i := bytes.Index(b, sep); i >= 0 && (end == 0 || i+len(sep) < end) {
			end = i + len(sep)
		}
	}
	return end
}

// eventID is the id of an event, "" if it has none.
func eventID(event []byte) string {
	for line := range bytes.SplitSeq(event, []byte("\n")) {
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(value))
		}
	}
	return ""
}

// lastEventID is the id of the last event that has one.
func lastEventID(events []byte) string {
	id := ""
	for line := range bytes.SplitSeq(events, []byte("\n")) {
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			id = string(bytes.TrimSpace(value))
		}
	}
	return id
}
