package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	host = "boards.example"
	key  = "key-one"
)

// kind is a kind of request of the sheet.
type kind struct {
	name     string
	method   string
	path     string
	timeout  time.Duration // The route's.
	deadline time.Duration
	patience time.Duration // After which a client leaves a stream that sends nothing.
	body     int
	prompt   func() (usage, parts string)
	perS     float64
}

// try is one request as its client saw it.
type try struct {
	id       string
	kind     *kind
	node     string
	sentAt   time.Time // When the last byte was sent.
	answered time.Duration
	status   int
	whole    bool
	closed   bool   // The connection ended without a whole answer.
	left     bool   // The client left.
	lastID   int    // Of the last event of a stream.
	failure  string // What reading the answer ended with.
}

// result tells how the try ended.
func (t *try) result() string {
	switch {
	case t.left:
		return fmt.Sprintf("%d, client left", t.status)
	case t.closed:
		return fmt.Sprintf("%d, connection ended (%s)", t.status, t.failure)
	default:
		return fmt.Sprint(t.status)
	}
}

// clients sends requests as the clients of a site do, each on connections of its own.
type clients struct {
	bed   *bed
	kinds []*kind
	stop  chan struct{}
	wg    sync.WaitGroup
	next  atomic.Int64

	mu    sync.Mutex
	tries []*try
}

// start begins to send; count is the number of clients.
func (b *bed) startClients(count int, kinds []*kind) *clients {
	c := &clients{bed: b, kinds: kinds, stop: make(chan struct{})}
	for i := range count {
		one := &client{all: c, zone: fmt.Sprintf("hall-%c", 'a'+i%3), nodes: b.nodes}
		c.wg.Go(one.resolveUntilStopped)
		for _, k := range kinds {
			c.wg.Go(func() { one.send(k, k.perS/float64(count)) })
		}
	}
	return c
}

// end stops sending and waits for the requests under way.
func (c *clients) end() {
	close(c.stop)
	c.wg.Wait()
}

func (c *clients) all() []*try {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.tries)
}

// client is one client.
type client struct {
	all   *clients
	zone  string
	nodes []*node

	mu    sync.Mutex
	addrs []string
	idle  []*clientConn
}

// clientConn is a connection that a client keeps.
type clientConn struct {
	net.Conn

	addr  string
	r     *bufio.Reader
	since time.Time
}

func (c *client) resolveUntilStopped() {
	for {
		c.resolve()
		select {
		case <-c.all.stop:
			return
		case <-time.After(2 * time.Second):
		}
	}
}

// resolve asks up to three nodes for addresses, near ones first.
func (c *client) resolve() {
	order := slices.Clone(c.nodes)
	rand.Shuffle(len(order), func(i, j int) { order[i], order[j] = order[j], order[i] })
	slices.SortStableFunc(order, func(a, b *node) int {
		return boolInt(b.zone == c.zone) - boolInt(a.zone == c.zone)
	})
	h := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for _, n := range order[:min(3, len(order))] {
		resp, err := h.Get(fmt.Sprintf("http://%s/-/resolve?name=%s&region=r&zone=%s", n.directory, host, c.zone))
		if err != nil {
			continue
		}
		var answer struct {
			Addrs []string `json:"addrs"`
		}
		err = json.NewDecoder(resp.Body).Decode(&answer)
		_ = resp.Body.Close() // It has been read.
		if err == nil && len(answer.Addrs) > 0 {
			c.mu.Lock()
			c.addrs = answer.Addrs
			c.mu.Unlock()
			return
		}
	}
}

func boolInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// send sends requests of one kind at a rate until the clients are stopped.
func (c *client) send(k *kind, perS float64) {
	for {
		select {
		case <-c.all.stop:
			return
		case <-time.After(time.Duration(rand.ExpFloat64() / perS * float64(time.Second))):
			c.all.wg.Go(func() { c.request(k) })
		}
	}
}

// restTime is four fifths of the idle timeout.
const restTime = 12 * time.Second

// connect takes a kept connection, or makes one to an address of the directory.
func (c *client) connect() (*clientConn, error) {
	c.mu.Lock()
	for len(c.idle) > 0 {
		conn := c.idle[len(c.idle)-1]
		c.idle = c.idle[:len(c.idle)-1]
		if time.Since(conn.since) < restTime && slices.Contains(c.addrs, conn.addr) {
			c.mu.Unlock()
			return conn, nil
		}
		_ = conn.Close() // It is not used any more.
	}
	if len(c.addrs) == 0 {
		c.mu.Unlock()
		return nil, io.EOF
	}
	addr := c.addrs[rand.IntN(len(c.addrs))]
	c.mu.Unlock()
	conn, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return nil, err
	}
	return &clientConn{Conn: conn, addr: addr, r: bufio.NewReader(conn)}, nil
}

// request sends one request and records what comes.
func (c *client) request(k *kind) {
	conn, err := c.connect()
	if err != nil {
		return
	}
	t := &try{id: fmt.Sprintf("q%07d", c.all.next.Add(1)), kind: k, node: c.all.bed.nodeAt(conn.addr)}
	head := fmt.Sprintf("%s %sx HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nAuthorization: Bearer %s\r\nDeadline-Ms: %d\r\n",
		k.method, k.path, host, t.id, key, k.deadline.Milliseconds())
	if k.prompt != nil {
		usage, parts := k.prompt()
		head += fmt.Sprintf("Model: m0\r\nToken-Usage: %s\r\nPrefix-Hash: %s\r\n", usage, parts)
	}
	if k.method == http.MethodPost {
		head += fmt.Sprintf("Content-Length: %d\r\n", k.body)
	}
	_ = conn.SetDeadline(time.Now().Add(k.deadline)) // If it fails, so does the next call.
	if _, err := io.WriteString(conn, head+"\r\n"+strings.Repeat("b", k.body)); err != nil {
		_ = conn.Close() // Not read: it does not count.
		return
	}
	t.sentAt = time.Now()
	c.all.mu.Lock()
	c.all.tries = append(c.all.tries, t)
	c.all.mu.Unlock()
	if !c.read(conn, t) {
		_ = conn.Close() // The client uses it no more.
		return
	}
	conn.since = time.Now()
	c.mu.Lock()
	c.idle = append(c.idle, conn)
	c.mu.Unlock()
}

// read reads the answer and reports whether the connection may be used again.
func (c *client) read(conn *clientConn, t *try) (reusable bool) {
	if t.kind.patience > 0 {
		_ = conn.SetReadDeadline(t.sentAt.Add(t.kind.patience)) // If it fails, so does the next call.
	}
	resp, err := http.ReadResponse(conn.r, nil)
	if err == nil {
		t.status = resp.StatusCode
		body := bufio.NewReader(resp.Body)
		for err == nil {
			if t.kind.patience > 0 {
				_ = conn.SetReadDeadline(time.Now().Add(t.kind.patience)) // If it fails, so does the next call.
			}
			var line string
			line, err = body.ReadString('\n')
			if id, ok := strings.CutPrefix(strings.TrimSpace(line), "id: "); ok {
				t.lastID, _ = strconv.Atoi(id) // 0 if it is none.
			}
		}
		if err == io.EOF {
			err = nil
		}
	}
	c.all.mu.Lock()
	defer c.all.mu.Unlock()
	t.answered = time.Since(t.sentAt)
	if err != nil {
		t.failure = err.Error()
		netErr, ok := err.(net.Error)
		t.left = ok && netErr.Timeout()
		t.closed = !t.left
		return false
	}
	t.whole = true
	return !resp.Close
}

// nodeAt names the node with an entry address.
func (b *bed) nodeAt(entry string) string {
	for _, n := range b.nodes {
		if n.entry == entry {
			return n.name
		}
	}
	return entry
}
