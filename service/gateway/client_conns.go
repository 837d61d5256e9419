package gateway

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/drumpath/drumpath/pkg/locks"
)

// clientConns is the set of open client connections.
type clientConns struct {
	limit int
	wg    sync.WaitGroup

	mu       locks.Mutex
	open     map[*clientConn]struct{}
	draining bool          // No more connections are added.
	drained  chan struct{} // Closed when draining and none is left.
}

func newClientConns(limit int) *clientConns {
	return &clientConns{open: map[*clientConn]struct{}{}, limit: limit, drained: make(chan struct{})}
}

// minIdleToEvict is how long a connection must have been idle to be closed for a new
// one: the next request of one that is new or idle for less is probably on its way.
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

// evictIdle closes the connection that has been idle longest, and reports whether one
// was idle for long enough. Otherwise clients that keep unused connections open would
// keep all others out.
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

// drain accepts no more connections, closes idle ones, and waits until none is left or
// ctx ends.
func (s *clientConns) drain(ctx context.Context) {
	if s.closeIdle() {
		return
	}
	// Counting requests would miss those that are still being read; an open connection
	// carries a request or is about to close.
	select {
	case <-s.drained:
	case <-ctx.Done():
	}
}

// closeIdle closes all connections that carry no request, and reports whether there were
// no connections at all.
func (s *clientConns) closeIdle() (none bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
	for c := range s.open {
		c.endIdle()
	}
	return len(s.open) == 0
}

// cutRequests counts the requests that a stop has interrupted, by their state.
type cutRequests struct{ readingHead, readingBody, serving int }

func (r cutRequests) sum() int { return r.readingHead + r.readingBody + r.serving }

// closeAll closes all connections, waits for their goroutines, and returns the requests
// that were interrupted.
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
