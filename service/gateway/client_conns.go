package gateway

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// clientConns are the open connections of clients.
type clientConns struct {
	limit int
	wg    sync.WaitGroup

	mu       sync.Mutex
	open     map[*clientConn]struct{}
	draining bool          // No connection is added any more.
	drained  chan struct{} // Closed once none is left then.
}

func newClientConns(limit int) *clientConns {
	return &clientConns{open: map[*clientConn]struct{}{}, limit: limit, drained: make(chan struct{})}
}

// minIdleToEvict is how long a connection must have rested to give way to another: the next
// request of one that rests for less, or is new, is likely on its way.
const minIdleToEvict = 100 * time.Millisecond

// accept serves connections until the listener is closed.
func (s *clientConns) accept(g *Gateway, ln net.Listener) (err error) {
	defer func() { err = eris.Wrap(err, "accept") }()
	for {
		conn, err := ln.Accept()
		if err != nil {
			return err
		}
		c := newClientConn(g, conn)
		if !s.add(c) {
			_ = conn.Close() // The client tries elsewhere.
			continue
		}
		go func() {
			defer s.wg.Done()
			c.serve()
		}()
	}
}

func (s *clientConns) add(c *clientConn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining || len(s.open) >= s.limit && !s.evictIdle(time.Now()) {
		return false
	}
	s.open[c] = struct{}{}
	s.wg.Add(1)
	return true
}

// evictIdle ends the connection that has rested longest, and says whether there is one
// that has rested for long enough. Clients that keep connections without using them
// would else keep all others out.
func (s *clientConns) evictIdle(now time.Time) bool {
	var longest *clientConn
	idleBefore := now.Add(-minIdleToEvict)
	for c := range s.open {
		if t, ok := c.idleSince(); ok && t.Before(idleBefore) {
			longest, idleBefore = c, t
		}
	}
	return longest != nil && longest.endIdle()
}

func (s *clientConns) remove(c *clientConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.open, c)
	if s.draining && len(s.open) == 0 {
		close(s.drained)
	}
}

// drain takes no connection any more, ends those that rest, and waits until none
// is left or ctx ends.
func (s *clientConns) drain(ctx context.Context) {
	if s.closeIdle() {
		return
	}
	// A wait for a count of requests would miss those that are still being read;
	// an open connection is one that carries a request or is just ending.
	select {
	case <-s.drained:
	case <-ctx.Done():
	}
}

// closeIdle ends all connections that carry no request, and says whether there
// were none at all.
func (s *clientConns) closeIdle() (none bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
	for c := range s.open {
		c.endIdle()
	}
	return len(s.open) == 0
}

// cutRequests are the requests that a stop has cut, by how far they were.
type cutRequests struct{ readingHead, readingBody, serving int }

func (r cutRequests) sum() int { return r.readingHead + r.readingBody + r.serving }

// closeAll closes all connections, waits for their ends, and tells what they
// still carried.
func (s *clientConns) closeAll() cutRequests {
	var counts [connStateCount]int
	s.mu.Lock()
	s.draining = true
	for c := range s.open {
		counts[c.currentState()]++
		_ = c.conn.Close() // Its goroutine notices.
	}
	s.mu.Unlock()
	s.wg.Wait()
	return cutRequests{readingHead: counts[connReadingHead], readingBody: counts[connReadingBody], serving: counts[connServing]}
}
