package soak

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/drumpath/drumpath/internal/standin/onplatform"
)

const (
	// softwareVersions is how many versions of their software the replicas have side by side.
	softwareVersions = 3
	// maxReturns is how often a client takes up a stream.
	maxReturns   = 4
	streamLength = 8 // Events.
	// dropShare is the share of attempts whose connection the client loses, after up to maxDropBytes.
	dropShare      = 0.2
	maxDropBytes   = 100
	maxStreamBytes = 1 << 20
)

// errDropped means that the client has lost its connection on purpose.
var errDropped = errors.New("the client dropped the connection")

// resume writes the rest of a stream, each event with the version of the replica. A replica that cuts
// answers breaks it off.
func (r *replica) resume(w io.Writer, q *onplatform.Request) bool {
	breakShare := 0.0
	if r.behaviour.Load() == behaviourCut {
		breakShare = 1
	}
	return onplatform.RestOfStream(r.version, streamLength, workTime, breakShare)(w, q)
}

// heldStream is what a client has of a stream.
type heldStream struct {
	begunBy   string // The attempt that brought the first event.
	lastEvent int
	version   string
	complete  bool
	mixed     bool // It has events of several versions.
}

// readStream reads a stream, taking it up at other nodes when it breaks off. A new client connection is used
// for each attempt after the first.
func (c *client) readStream() {
	var h heldStream
	end := time.Now().Add(clientTimeout)
	for range maxReturns {
		if !h.complete && time.Now().Before(end) && (c.conn != nil || c.connect()) {
			if again := c.attemptStream(&h, time.Until(end)); !again {
				return
			}
		}
	}
}

// attemptStream makes one attempt; again is false if the client must not take the stream up any more.
func (c *client) attemptStream(h *heldStream, left time.Duration) (again bool) {
	takesUp := h.lastEvent > 0
	o := outcome{kind: kindResume, id: fmt.Sprintf("%s-%d", kindResume, c.lastID.Add(1)), node: c.node, sentAt: time.Now(), takesUp: takesUp}
	fields := ""
	if takesUp {
		fields = fmt.Sprintf("Last-Event-Id: %d\r\nResumes: %s\r\n", h.lastEvent, h.begunBy)
	}
	body := reqBody(o.id, 10)
	_ = c.conn.SetDeadline(time.Now().Add(readTimeout)) // Cannot fail on an open connection.
	_, err := fmt.Fprintf(c.conn, "POST /%s/x HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nAuthorization: Bearer %s\r\nDeadline-Ms: %d\r\n%s: %s\r\n%s: %d\r\n%sContent-Length: %d\r\n\r\n%s",
		kindResume, host, o.id, key, max(1, left.Milliseconds()), headerNode, o.node.name, headerSent, o.sentAt.UnixNano(), fields, len(body), body)
	if err != nil {
		c.closeConn()
		return true
	}
	before := h.lastEvent
	c.readEvents(h, &o)
	o.endedAt = time.Now()
	c.soak.checker.recordStream(takesUp, h.lastEvent > before || h.complete)
	c.soak.checker.recordOutcome(o)
	return o.status != http.StatusPreconditionFailed
}

// readEvents reads the answer to an attempt.
func (c *client) readEvents(h *heldStream, o *outcome) {
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		c.closeConn()
		return
	}
	o.status = resp.StatusCode
	limit := int64(maxStreamBytes)
	if c.rng.Float64() < dropShare {
		limit = 1 + c.rng.Int64N(maxDropBytes)
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, limit))
	if int64(len(body)) == limit {
		err = errDropped
	}
	_ = resp.Body.Close() // The connection is closed unless it was read to its end.
	if err != nil || resp.Close {
		c.closeConn()
	}
	if resp.StatusCode != http.StatusOK {
		return
	}
	o.complete, h.complete = err == nil, err == nil
	text := string(body)
	for event, rest, found := strings.Cut(text, "\n\n"); found; event, rest, found = strings.Cut(rest, "\n\n") {
		var number int
		var version string
		if _, err := fmt.Sscanf(event, "id: %d\ndata: %s", &number, &version); err != nil || number != h.lastEvent+1 {
			o.mismatch = fmt.Sprintf("event %q after event %d", event, h.lastEvent)
			return
		}
		if h.version == "" {
			h.begunBy, h.version = o.id, version
		}
		if version != h.version && !h.mixed {
			h.mixed = true
			c.soak.checker.recordMixed("%s at %s: event %d of %s, begun by %s at %s", o.id, o.node.name, number, version, h.begunBy, h.version)
		}
		h.lastEvent = number
	}
}
