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

// Kinds of requests; the path of each begins with its name.
const (
	kindOnce   = "once"
	kindSafe   = "safe"
	kindStream = "stream"
)

const (
	// patience is how long clients wait, which they tell.
	patience = 2 * time.Second
	// answerSlack is how much later a final answer may come: half a second by
	// the rules, and more for a machine that is busy with other things.
	answerSlack = 1500 * time.Millisecond
	// readTime bounds a client's reading.
	readTime = patience + 3*time.Second
	host     = "soak.example"
	key      = "soak-tenant-key"
)

// client sends requests one after the other, on connections that it keeps.
type client struct {
	s    *soak
	rng  *rand.Rand
	ids  *atomic.Int64
	node *node
	conn net.Conn
	r    *bufio.Reader
}

// run sends until ctx ends.
func (c *client) run(ctx context.Context, pause time.Duration) {
	defer c.drop()
	for ctx.Err() == nil {
		c.one()
		time.Sleep(time.Duration(c.rng.ExpFloat64() * float64(pause)))
	}
}

func (c *client) drop() {
	if c.conn != nil {
		_ = c.conn.Close() // Nothing of it is wanted.
	}
	c.conn = nil
}

// newConnEach is the share of requests on a connection of their own.
const newConnEach = 0.2

// connect takes a connection to one of the nodes; ok is false if it can't.
func (c *client) connect() bool {
	if c.conn != nil && c.rng.Float64() > newConnEach {
		return true
	}
	c.drop()
	c.node = c.s.nodes[c.rng.IntN(len(c.s.nodes))]
	conn, err := net.DialTimeout("tcp", c.node.entry(), time.Second)
	if err != nil {
		return false
	}
	c.conn, c.r = conn, bufio.NewReader(conn)
	return true
}

func (c *client) one() {
	if !c.connect() {
		return
	}
	kind := [...]string{kindOnce, kindOnce, kindSafe, kindStream}[c.rng.IntN(4)]
	o := outcome{kind: kind, id: fmt.Sprintf("%s-%d", kind, c.ids.Add(1)), node: c.node, sent: time.Now()}
	body := bodyOf(o.id, c.rng.IntN(20_000))
	text := fmt.Sprintf("POST /%s/x HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nAuthorization: Bearer %s\r\nDeadline-Ms: %d\r\n%s: %s\r\n%s: %d\r\nContent-Length: %d\r\n\r\n%s",
		kind, host, o.id, key, patience.Milliseconds(), headerNode, o.node.name, headerSent, o.sent.UnixNano(), len(body), body)
	_ = c.conn.SetDeadline(time.Now().Add(readTime)) // Of an open connection.
	if _, err := io.WriteString(c.conn, text); err != nil {
		c.drop() // A node may have closed it before it read the request.
		return
	}
	c.read(&o)
	o.ended = time.Now()
	c.s.ledger.end(o)
}

func (c *client) read(o *outcome) {
	resp, err := http.ReadResponse(c.r, nil)
	if err != nil {
		c.drop()
		return
	}
	o.status = resp.StatusCode
	body, err := io.ReadAll(resp.Body)
	_ = resp.Body.Close() // It has been read.
	if err != nil || resp.Close {
		c.drop()
	}
	if resp.StatusCode != http.StatusOK || err != nil {
		return
	}
	o.whole = true
	if want := answerOf(o.kind, o.id); string(body) != want {
		o.wrong = fmt.Sprintf("the answer is not the replica's: %d bytes for %d, beginning with %.60q", len(body), len(want), body)
	}
}

// bodyOf is the body of a request: whoever has it whole can tell.
func bodyOf(id string, filler int) string { return id + " " + strings.Repeat("b", filler) + " " + id }

// answerOf is what a replica answers, whatever replica it is.
func answerOf(kind, id string) string {
	if kind != kindStream {
		return "answer to " + id + strings.Repeat(".", 500)
	}
	return strings.Join(eventsOf(id), "")
}

// streamEvents is how many events a stream has.
const streamEvents = 6

func eventsOf(id string) []string {
	var events []string
	for i := 1; i <= streamEvents; i++ {
		events = append(events, fmt.Sprintf("id: %d\ndata: %s piece %d\n\n", i, id, i))
	}
	return events
}
