package gateway

import (
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// clientConns are the open connections of clients.
type clientConns struct {
	mu   sync.Mutex
	open map[*clientConn]struct{}
	most int
	wg   sync.WaitGroup
}

func newClientConns(most int) *clientConns {
	return &clientConns{open: map[*clientConn]struct{}{}, most: most}
}

// leastRest is how long a connection must have rested to give way to another: the next
// request of one that rests for less, or is new, is likely on its way.
const leastRest = 100 * time.Millisecond

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
	if len(s.open) >= s.most && !s.makeRoom(time.Now()) {
		return false
	}
	s.open[c] = struct{}{}
	s.wg.Add(1)
	return true
}

// makeRoom ends the connection that has rested longest, and says whether there is one
// that has rested for long enough. Clients that keep connections without using them
// would else keep all others out.
func (s *clientConns) makeRoom(now time.Time) bool {
	var longest *clientConn
	since := now.Add(-leastRest)
	for c := range s.open {
		if t, ok := c.restsSince(); ok && t.Before(since) {
			longest, since = c, t
		}
	}
	return longest != nil && longest.hurry()
}

func (s *clientConns) remove(c *clientConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.open, c)
}

// endResting ends all connections that carry no request.
func (s *clientConns) endResting() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.open {
		c.hurry()
	}
}

// cutRequests are the requests that a stop has cut, by how far they were.
type cutRequests struct{ heading, bodying, serving int }

func (r cutRequests) sum() int { return r.heading + r.bodying + r.serving }

// closeAll closes all connections, waits for their ends, and tells what they
// still carried.
func (s *clientConns) closeAll() cutRequests {
	var by [connStates]int
	s.mu.Lock()
	for c := range s.open {
		by[c.carries()]++
		_ = c.conn.Close() // Its goroutine notices.
	}
	s.mu.Unlock()
	s.wg.Wait()
	return cutRequests{heading: by[connHeading], bodying: by[connBodying], serving: by[connServing]}
}
