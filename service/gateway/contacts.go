package gateway

import (
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/drumpath/drumpath/pkg/boottime"
	"github.com/drumpath/drumpath/pkg/http1"
	"github.com/drumpath/drumpath/pkg/route"
	"github.com/drumpath/drumpath/pkg/site"
)

// contact is what is known of the connections to a replica at one address.
type contact struct {
	contactKey

	heardAt atomic.Int64 // When a byte last came on any connection, or one was made; see sinceStart.
	// goneAt is when the replica was last found unreachable, 0 for never. Connections on
	// which nothing has come since are not used again.
	goneAt  atomic.Int64
	flights map[*upstreamConn]struct{} // Requests in flight; guarded by upstreamConns.mu.
}

// contactKey identifies a replica at an address: it has another one after a restart.
type contactKey struct {
	id   string
	addr netip.AddrPort
}

// flight is a request in flight on a connection.
type flight struct {
	request      string
	replica      string // Its ID.
	repeatable   bool
	streaming    bool
	startedAt    time.Time
	expected     time.Duration // Time to the first event.
	allowedPause time.Duration
	// model and weights are those of the prompt's engine; weights is 0 if they are unknown.
	model   string
	weights int64
	resumed bool         // It goes on with a run of another attempt.
	bodyAt  atomic.Int64 // When bytes of the body last came, 0 before; see sinceStart.
}

func newFlight(x *exchange, a *attempt) *flight {
	return &flight{
		request:      x.info.ID,
		replica:      a.choice.ID,
		repeatable:   x.route.Repeatable(),
		streaming:    x.route.Streaming,
		startedAt:    a.startedAt,
		expected:     a.choice.Expected,
		allowedPause: x.route.GapTarget,
		model:        x.pickInput.Model,
		weights:      a.choice.Weights,
		resumed:      a.origin != nil,
	}
}

// waiting reports whether the flight is a prompt whose engine may not have begun it yet.
func (f *flight) waiting() bool {
	return f.streaming && f.weights > 0 && !f.resumed && f.bodyAt.Load() == 0
}

// overdue reports whether the flight is a stream that pauses too long.
func (f *flight) overdue(now time.Time) bool {
	if !f.streaming {
		return false
	}
	s := route.StreamState{StartedAt: f.startedAt, Expected: f.expected, AllowedPause: f.allowedPause}
	if at := f.bodyAt.Load(); at != 0 {
		s.LastBytesAt = epoch.Add(time.Duration(at))
	}
	return s.Overdue(now)
}

// epoch is the zero of the times that are kept in atomic variables. They follow the steady
// clock including suspensions, as boottime.Now does, and are greater than 0.
var epoch = boottime.Now().Add(-time.Second)

// sinceStart returns the time since epoch.
func sinceStart() int64 { return int64(boottime.Since(epoch)) }

// silence returns for how long nothing has come from the replica.
func (c *contact) silence() time.Duration { return time.Duration(sinceStart() - c.heardAt.Load()) }

// recordHeard records that a byte came on the connection or that it was made.
func (c *upstreamConn) recordHeard() {
	now := sinceStart()
	c.heardAt.Store(now)
	if c.contact != nil {
		c.contact.heardAt.Store(now)
	}
}

// recordBody records that bytes of the body of the answer came.
func (c *upstreamConn) recordBody() {
	if c != nil && c.flight != nil {
		c.flight.bodyAt.Store(sinceStart())
	}
}

// silent reports whether nothing has come on the connection since its replica was found
// unreachable.
func (c *upstreamConn) silent() bool {
	return c.contact != nil && c.heardAt.Load() <= c.contact.goneAt.Load()
}

// dial makes a connection to a replica.
func (u *upstreamConns) dial(id string, addr netip.AddrPort, timeout time.Duration) (*upstreamConn, error) {
	conn, err := u.dialTCP(addr, timeout)
	if err != nil {
		return nil, err
	}
	c := newUpstreamConn(conn)
	u.mu.Lock()
	c.contact = u.contactLocked(contactKey{id, addr})
	u.mu.Unlock()
	c.recordHeard()
	return c, nil
}

// checkDialDelay is after what time without an answer a second connection is tried, so that
// the loss of one packet does not make a replica seem unreachable: a lost SYN is sent again
// only after a second.
const checkDialDelay = route.CheckTimeout / 2

// dialTwice makes a connection to a replica within route.CheckTimeout, with a second try
// beside the first one if that takes long.
func (u *upstreamConns) dialTwice(id string, addr netip.AddrPort) (*upstreamConn, error) {
	type result struct {
		conn *upstreamConn
		err  error
	}
	results := make(chan result, 2)
	start := func(timeout time.Duration) {
		go func() {
			conn, err := u.dial(id, addr, timeout)
			results <- result{conn, err}
		}()
	}
	start(route.CheckTimeout)
	pending := 1
	second := time.NewTimer(checkDialDelay)
	defer second.Stop()
	for {
		select {
		case <-second.C:
			start(route.CheckTimeout - checkDialDelay)
			pending++
		case r := <-results:
			pending--
			if r.err != nil && timedOut(r.err) && pending > 0 {
				continue
			}
			if pending > 0 {
				go func() { // The other one may still be made.
					if late := <-results; late.err == nil {
						u.put(id, late.conn)
					}
				}()
			}
			return r.conn, r.err
		}
	}
}

// contactLocked returns the contact of a replica; the caller holds mu.
func (u *upstreamConns) contactLocked(key contactKey) *contact {
	c, ok := u.contacts[key]
	if !ok {
		c = &contact{contactKey: key, flights: map[*upstreamConn]struct{}{}}
		u.contacts[key] = c
	}
	return c
}

// contact returns the contact of a replica.
func (u *upstreamConns) contact(id string, addr netip.AddrPort) *contact {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.contactLocked(contactKey{id, addr})
}

// begin records that a connection carries a request.
func (u *upstreamConns) begin(c *upstreamConn, f *flight) {
	u.mu.Lock()
	defer u.mu.Unlock()
	c.flight = f
	if c.contact != nil {
		c.contact.flights[c] = struct{}{}
		u.busy[c.contact] = struct{}{}
	}
}

// end records that a connection carries its request no longer.
func (u *upstreamConns) end(c *upstreamConn) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.endLocked(c)
}

func (u *upstreamConns) endLocked(c *upstreamConn) {
	if c.contact == nil {
		return
	}
	delete(c.contact.flights, c)
	if len(c.contact.flights) == 0 {
		delete(u.busy, c.contact)
	}
}

// inFlight returns the number of requests in flight at a replica.
func (u *upstreamConns) inFlight(c *contact) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return len(c.flights)
}

// silentContacts returns the replicas with requests in flight that have been silent for
// route.CheckSilence, and whether any of their streams pauses too long.
func (u *upstreamConns) silentContacts(now time.Time) map[*contact]bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	var list map[*contact]bool
	for c := range u.busy {
		if c.silence() < route.CheckSilence {
			continue
		}
		overdue := false
		for conn := range c.flights {
			overdue = overdue || conn.flight.overdue(now)
		}
		if list == nil {
			list = map[*contact]bool{}
		}
		list[c] = overdue
	}
	return list
}

// hasUnread reports whether data of a replica has arrived on a connection with a request in
// flight and was not read yet. The kernel's time of the last data is not used: it is 0 where the
// network stack does not keep it, and replicas that were gone passed for heard.
func (u *upstreamConns) hasUnread(c *contact) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	for conn := range c.flights {
		if http1.HasUnread(conn.conn) {
			return true
		}
	}
	return false
}

// heardSince returns the IDs of the replicas from which something came after a time of
// sinceStart.
func (u *upstreamConns) heardSince(start int64) map[string]bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	list := map[string]bool{}
	for key, c := range u.contacts {
		if c.heardAt.Load() > start {
			list[key.id] = true
		}
	}
	return list
}

// distrust has the connections to a replica that are open now not used again.
func (u *upstreamConns) distrust(replica *site.Upstream) (closed int) {
	u.contact(replica.ID, replica.Addr).goneAt.Store(sinceStart())
	return u.closeIdle(replica.ID)
}

// abortFlights ends the requests in flight at a replica for which ends returns true; reading their
// answers fails with cause. It returns how many there were.
func (u *upstreamConns) abortFlights(c *contact, cause error, ends func(*flight) bool) (ended int) {
	u.mu.Lock()
	conns := make([]*upstreamConn, 0, len(c.flights))
	for conn := range c.flights {
		if ends(conn.flight) {
			conns = append(conns, conn)
		}
	}
	u.mu.Unlock()
	u.aborted.Add(int64(len(conns))) // Before the first client can have its answer.
	for _, conn := range conns {
		conn.abortCause.Store(&cause)
		http1.AbortUnreachable(conn.conn)
	}
	return len(conns)
}

// contactMemory is how long a replica without requests in flight is remembered.
const contactMemory = time.Minute

// pruneContacts drops contacts that are no longer of use; the caller holds mu.
func (u *upstreamConns) pruneContacts() {
	for key, c := range u.contacts {
		if len(c.flights) == 0 && len(u.idle[key.id]) == 0 && c.silence() > contactMemory {
			delete(u.contacts, key)
		}
	}
}
