package gateway

import (
	"bytes"
	"context"
	"errors"
	"io"
	"strconv"

	"github.com/drumpath/drumpath/pkg/boottime"
	"github.com/drumpath/drumpath/pkg/http1"
	"github.com/drumpath/drumpath/pkg/route"
)

// streamRelay passes a stream of server-sent events on to the client.
//
// Only whole events are passed on, each as soon as it is complete, so that another
// replica can resume the stream after the last of them. The head and the first event are
// sent together: until then the request may still be tried elsewhere.
type streamRelay struct {
	out    *clientWriter
	head   *http1.Head // Head of the first replica's answer.
	lastID string      // ID of the last event that was passed on.
	// passedOn is the number of events with an ID that were passed on.
	passedOn int
	// partial is the beginning of an event that is not complete yet.
	partial []byte
	// eventless is the number of bytes passed on since the last event.
	eventless int
	// onFirst is called before the first events of an attempt are passed on.
	onFirst func()
}

// Sizes in bytes.
const (
	relayBufferSize = 8 << 10
	// maxEventBytes bounds an event, and the bytes between two events that belong to none.
	maxEventBytes = 256 << 10
)

// errNoEvent ends an attempt whose stream has no event in maxEventBytes.
var errNoEvent = errors.New("too many bytes without an event")

// relayStream passes a replica's stream on. If it breaks off and may be repeated,
// another replica resumes it.
func (x *exchange) relayStream(ctx context.Context, a *attempt) (bool, refusal) {
	first := x.stream == nil
	r := x.stream
	if first {
		r = &streamRelay{out: x.out, head: a.head}
	}
	r.partial, r.eventless = nil, 0
	r.onFirst = func() {
		x.recordEventsOf(a)
		x.recordFirstByte(a, boottime.Now())
	}
	err := x.copyEvents(r, a)
	now := boottime.Now()
	if x.out.started {
		x.stream = r
	}
	if err == nil {
		a.end(route.OutcomeOK, now)
		a.answered = true
		a.endHandoff()
		x.recordCanary(ctx, a, false)
		x.recordFinish(a, now)
		r.finish()
		x.logAnswer(a, now)
		return false, refusal{}
	}
	if errors.Is(err, errWeightsReplaced) {
		return x.handleWithdrawn(a, now)
	}
	if x.takeHandoff(ctx, a) {
		a.closeConn()
		x.recordCanary(ctx, a, false)
		return true, refusal{}
	}
	a.end(x.outcomeOfFailure(ctx, a), now)
	x.recordLostRun(ctx, a, err)
	x.recordCanary(ctx, a, true)
	if ctx.Err() != nil {
		x.closeIdleAfterSilence(a, now)
		return false, x.deadlineRefusal()
	}
	if x.out.failed {
		return false, refusal{}
	}
	x.g.log.Warn("stream broke off", "request", x.info.ID, "content", x.fingerprint(), "replica", a.choice.ID, "software", a.choice.Software, "last_event", r.lastID, "err", err)
	if x.takeBackup(ctx, a) {
		return true, refusal{}
	}
	return x.mayRepeat(a.choice.ID, now)
}

// copyEvents passes events on until the end of the stream, for which it returns nil.
func (x *exchange) copyEvents(r *streamRelay, a *attempt) error {
	buf := make([]byte, relayBufferSize)
	for {
		n, err := a.body.Read(buf)
		if n > 0 {
			if a.firstByteAfter == 0 && x.softwareChanged(a) {
				return errSoftwareChanged
			}
			now := boottime.Now()
			a.recordBodyBytes(now)
			if err := r.write(buf[:n]); err != nil {
				return err
			}
			x.considerHandoff(r, a, now)
		}
		switch {
		case x.out.failed:
			return errClientLeft
		case err == io.EOF && r.endedInside(a.body.Framing()):
			return http1.ErrBodyTruncated
		case err == io.EOF:
			return x.confirmEnd(a)
		case err != nil:
			return err
		}
	}
}

// endedInside reports whether a body that has ended lacks the end of an event. An answer of another
// media type has none, and is passed on as it is if its framing shows that it is whole.
func (r *streamRelay) endedInside(framing http1.Framing) bool {
	return len(r.partial) > 0 && (framing == http1.FramingClose || mediaType(r.head) == eventStreamType)
}

// eventStreamType is the media type of a stream of server-sent events.
const eventStreamType = "text/event-stream"

// write passes on the events that are complete with these bytes.
// Until the first event of an attempt it holds blocks without an event back: these are not the beginning
// of an answer.
func (r *streamRelay) write(b []byte) error {
	searched := max(0, len(r.partial)-maxSeparator)
	r.partial = append(r.partial, b...)
	end := lastEventEnd(r.partial[searched:])
	if end > 0 {
		end += searched
	}
	event := holdsEvent(r.partial[:end])
	if end > 0 && (event || r.onFirst == nil) {
		r.eventless += end
		if event {
			r.eventless = 0
		}
		if events := r.skipRepeated(r.partial[:end]); len(events) > 0 {
			r.send(events)
		}
		r.partial = append([]byte(nil), r.partial[end:]...)
	}
	if r.eventless+len(r.partial) > maxEventBytes {
		return errNoEvent
	}
	return nil
}

// holdsEvent reports whether blocks hold an event: a line with data or an ID, not only comments and
// what is no field.
func holdsEvent(blocks []byte) bool {
	for line := range bytes.FieldsFuncSeq(blocks, func(r rune) bool { return r == '\n' || r == '\r' }) {
		if bytes.HasPrefix(line, []byte("data")) || bytes.HasPrefix(line, []byte("id:")) {
			return true
		}
	}
	return false
}

// skipRepeated drops events at the front that were passed on before: a replica that
// resumes a stream may send some of them again.
func (r *streamRelay) skipRepeated(events []byte) []byte {
	for len(events) > 0 && r.lastID != "" {
		end := firstEventEnd(events)
		if end == 0 || !notAfter(eventID(events[:end]), r.lastID) {
			return events
		}
		events = events[end:]
	}
	return events
}

// notAfter reports whether an event's number is known to be at most that of another.
func notAfter(id, last string) bool {
	a, errA := strconv.ParseInt(id, 10, 64)
	b, errB := strconv.ParseInt(last, 10, 64)
	return errA == nil && errB == nil && a <= b
}

func (r *streamRelay) send(events []byte) {
	if r.onFirst != nil {
		r.onFirst()
		r.onFirst = nil
	}
	if id, count := lastEventID(events); id != "" {
		r.lastID = id
		r.passedOn += count
	}
	if !r.out.started {
		r.out.startStream(r.head.Status, r.head.EndToEnd(), events)
		return
	}
	r.out.writeMore(events)
}

// finish ends the stream, with what is buffered.
func (r *streamRelay) finish() {
	if len(r.partial) > 0 {
		r.send(r.partial)
		r.partial = nil
	}
	if !r.out.started {
		r.out.startStream(r.head.Status, r.head.EndToEnd(), nil)
	}
	r.out.endStream()
}

// eventSeparators are the blank lines that end an event.
var eventSeparators = [][]byte{[]byte("\n\n"), []byte("\n\r\n"), []byte("\r\r")}

// maxSeparator is the longest of eventSeparators.
const maxSeparator = 3

// lastEventEnd returns where the last complete event ends, 0 if there is none.
func lastEventEnd(b []byte) int {
	end := 0
	for _, sep := range eventSeparators {
		if i := bytes.LastIndex(b, sep); i >= 0 {
			end = max(end, i+len(sep))
		}
	}
	return end
}

// firstEventEnd returns where the first event ends, 0 if it is not complete.
func firstEventEnd(b []byte) int {
	end := 0
	for _, sep := range eventSeparators {
		if i := bytes.Index(b, sep); i >= 0 && (end == 0 || i+len(sep) < end) {
			end = i + len(sep)
		}
	}
	return end
}

// eventID returns the ID of an event, "" if it has none.
func eventID(event []byte) string {
	for line := range bytes.SplitSeq(event, []byte("\n")) {
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(value))
		}
	}
	return ""
}

// lastEventID returns the ID of the last event that has one, and how many have one.
func lastEventID(events []byte) (id string, count int) {
	for line := range bytes.SplitSeq(events, []byte("\n")) {
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			id = string(bytes.TrimSpace(value))
			count++
		}
	}
	return id, count
}
