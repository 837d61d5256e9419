package soak

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// Kinds of requests; the path of a request begins with its kind.
const (
	kindOnce   = "once"
	kindSafe   = "safe"
	kindStream = "stream"
	kindResume = "resume" // Streams that clients take up again.
	kindPrompt = "prompt"
)

const (
	// clientTimeout is how long clients wait; they send it as the deadline of each request.
	clientTimeout = 2 * time.Second
	// answerSlack is how long after the deadline a final answer may come: half a second
	// by the specification plus slack for a busy machine.
	answerSlack = 1500 * time.Millisecond
	// readTimeout bounds the exchange of a request and its answer on a connection.
	readTimeout = clientTimeout + 3*time.Second
	host        = "soak.example"
	key         = "soak-tenant-key"
)

// client sends requests one at a time and reuses its connection for most of them.
type client struct {
	soak   *soak
	rng    *rand.Rand
	lastID *atomic.Int64
	node   *node
	conn   net.Conn
	reader *bufio.Reader
}

// run sends requests until ctx ends.
func (c *client) run(ctx context.Context, pause time.Duration) {
	defer c.closeConn()
	for ctx.Err() == nil {
		c.sendRequest()
		time.Sleep(time.Duration(c.rng.ExpFloat64() * float64(pause)))
	}
}

func (c *client) closeConn() {
	if c.conn != nil {
		_ = c.conn.Close() // Whatever is unread is discarded.
	}
	c.conn = nil
}

// newConnShare is the share of requests for which a client opens a new connection.
const newConnShare = 0.2

// connect keeps the open connection or opens one to a random node; it returns false if
// the node can't be reached.
func (c *client) connect() bool {
	if c.conn != nil && c.rng.Float64() > newConnShare {
		return true
	}
	c.closeConn()
	c.node = c.soak.nodes[c.rng.IntN(len(c.soak.nodes))]
	conn, err := net.DialTimeout("tcp", c.node.entry(), time.Second)
	if err != nil {
		return false
	}
	c.conn, c.reader = conn, bufio.NewReader(conn)
	return true
}

func (c *client) sendRequest() {
	if !c.connect() {
		return
	}
	kind := [...]string{kindOnce, kindOnce, kindSafe, kindStream, kindResume, kindPrompt, kindPrompt}[c.rng.IntN(7)]
	if kind == kindResume {
		c.readStream()
		return
	}
	o := outcome{kind: kind, id: fmt.Sprintf("%s-%d", kind, c.lastID.Add(1)), node: c.node, sentAt: time.Now()}
	body := reqBody(o.id, c.rng.IntN(20_000))
	text := fmt.Sprintf("POST /%s/x HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nAuthorization: Bearer %s\r\nDeadline-Ms: %d\r\n%s: %s\r\n%s: %d\r\n%sContent-Length: %d\r\n\r\n%s",
		kind, host, o.id, key, clientTimeout.Milliseconds(), headerNode, o.node.name, headerSent, o.sentAt.UnixNano(), c.promptFields(kind), len(body), body)
	_ = c.conn.SetDeadline(time.Now().Add(readTimeout)) // Cannot fail on an open connection.
	if _, err := io.WriteString(c.conn, text); err != nil {
		c.closeConn() // A node may have closed it before it read the request.
		return
	}
	c.readAnswer(&o)
	o.endedAt = time.Now()
	c.soak.checker.recordOutcome(o)
}

// promptFields returns the header lines of a prompt with a part that others share, "" for other requests.
func (c *client) promptFields(kind string) string {
	if kind != kindPrompt {
		return ""
	}
	return fmt.Sprintf("Model: %s\r\nToken-Usage: 600,10\r\nPrefix-Hash: aa:500,%x:100\r\n", model, c.rng.Uint32())
}

func (c *client) readAnswer(o *outcome) {
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		c.closeConn()
		return
	}
	o.status = resp.StatusCode
	body, err := io.ReadAll(resp.Body)
	_ = resp.Body.Close() // It has been read to its end.
	if err != nil || resp.Close {
		c.closeConn()
	}
	if resp.StatusCode != http.StatusOK || err != nil {
		return
	}
	o.complete = true
	if want := expectedAnswer(o.kind, o.id); string(body) != want {
		o.mismatch = fmt.Sprintf("the answer is not the replica's: %d bytes for %d, beginning with %.60q", len(body), len(want), body)
	}
}

// reqBody returns a body that begins and ends with the request's ID, so that its
// receiver can tell whether it is complete.
func reqBody(id string, filler int) string { return id + " " + strings.Repeat("b", filler) + " " + id }

// expectedAnswer returns the body of the answer that any replica gives.
func expectedAnswer(kind, id string) string {
	if kind != kindStream && kind != kindPrompt {
		return "answer to " + id + strings.Repeat(".", 500)
	}
	return strings.Join(expectedEvents(id), "")
}

// streamEvents is the number of events in a stream.
const streamEvents = 6

func expectedEvents(id string) []string {
	var events []string
	for i := 1; i <= streamEvents; i++ {
		events = append(events, fmt.Sprintf("id: %d\ndata: %s piece %d\n\n", i, id, i))
	}
	return events
}
