package gateway

import (
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/drumpath/drumpath/pkg/boottime"
	"github.com/drumpath/drumpath/pkg/http1"
	"github.com/drumpath/drumpath/pkg/locks"
)

// upstreamConns pools idle connections to replicas, by ID of the replica.
type upstreamConns struct {
	dialTCP DialFunc
	aborted atomic.Int64 // Requests that abortFlights has ended.

	mu     locks.Mutex
	idle   map[string][]*upstreamConn
	closed bool // Connections are not pooled any more.
	// contacts has the replicas to which connections were made, and busy those that have
	// requests of this node in flight.
	contacts map[contactKey]*contact
	busy     map[*contact]struct{}
}

func newUpstreamConns() *upstreamConns {
	return &upstreamConns{
		dialTCP:  dialTCP,
		idle:     map[string][]*upstreamConn{},
		contacts: map[contactKey]*contact{},
		busy:     map[*contact]struct{}{},
	}
}

// get returns the most recently used connection that has been idle for less than
// maxIdle, or dials one. An error means that no byte was sent.
func (u *upstreamConns) get(id string, addr netip.AddrPort, maxIdle time.Duration) (*upstreamConn, error) {
	if c := u.getIdle(id, maxIdle); c != nil {
		return c, nil
	}
	return u.dial(id, addr, upstreamDialTimeout)
}

// getIdle returns the most recently used connection that has been idle for less than maxIdle, nil
// if there is none.
func (u *upstreamConns) getIdle(id string, maxIdle time.Duration) *upstreamConn {
	now := boottime.Now()
	for {
		c := u.popIdle(id)
		if c == nil || c.usable(now, maxIdle) {
			return c
		}
		c.close()
	}
}

func (u *upstreamConns) popIdle(id string) *upstreamConn {
	u.mu.Lock()
	defer u.mu.Unlock()
	list := u.idle[id]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	u.idle[id] = list[:len(list)-1]
	return c
}

// put returns a connection that can be used again to the pool.
func (u *upstreamConns) put(id string, c *upstreamConn) {
	c.idleSince = boottime.Now()
	u.mu.Lock()
	defer u.mu.Unlock()
	u.endLocked(c)
	if u.closed {
		c.close()
		return
	}
	u.idle[id] = append(u.idle[id], c)
}

// prune closes connections that have been idle too long, or on which bytes came that belong to no
// request; the timer service calls it.
func (u *upstreamConns) prune(now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.pruneContacts()
	for id, list := range u.idle {
		kept := list[:0]
		for _, c := range list {
			if now.Sub(c.idleSince) < c.maxIdle && c.r.Buffered() == 0 && !http1.HasUnread(c.conn) {
				kept = append(kept, c)
			} else {
				c.close()
			}
		}
		u.idle[id] = kept
		if len(kept) == 0 {
			delete(u.idle, id)
		}
	}
}

// closeIdle closes the idle connections to a replica and returns how many there were.
func (u *upstreamConns) closeIdle(id string) (closed int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	closed = len(u.idle[id])
	for _, c := range u.idle[id] {
		c.close()
	}
	delete(u.idle, id)
	return closed
}

// closeAllIdle closes all idle connections and returns how many there were.
func (u *upstreamConns) closeAllIdle() (closed int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, list := range u.idle {
		for _, c := range list {
			c.close()
		}
		closed += len(list)
	}
	clear(u.idle)
	return closed
}

func (u *upstreamConns) close() {
	u.mu.Lock()
	u.closed = true
	u.mu.Unlock()
	u.closeAllIdle()
}
