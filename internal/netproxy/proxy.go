package netproxy

import (
	"errors"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// Link describes how a proxy forwards the bytes of one direction.
type Link struct {
	Held  bool // Hold back all bytes while set.
	Delay time.Duration
}

// Proxy forwards connections to one address and injects faults into them.
type Proxy struct {
	ln net.Listener

	mu      sync.Mutex
	target  netip.AddrPort
	links   [2]Link // Indexed by toTarget and fromTarget.
	conns   map[*proxiedConn]struct{}
	changed chan struct{}
	closed  bool
	wg      sync.WaitGroup
	// fillers occupy the queue of connections that are to be accepted while the proxy is
	// unreachable.
	fillers []net.Conn
	// reachable is closed while new connections are accepted.
	reachable chan struct{}
}

// Directions of a connection.
const (
	toTarget = iota
	fromTarget
)

// proxiedConn is one client connection with its connection to the target.
type proxiedConn struct {
	ends [2]*net.TCPConn // The client's and the target's.
	// silent directions discard all bytes, which TCP still acknowledges, and do not
	// forward a close.
	silent [2]bool
}

// New starts a proxy in front of a target.
func New(target netip.AddrPort) (*Proxy, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{ln: ln, target: target, conns: map[*proxiedConn]struct{}{}, changed: make(chan struct{}), reachable: make(chan struct{})}
	close(p.reachable)
	p.wg.Go(p.accept)
	return p, nil
}

// Addr returns the address that the proxy listens at.
func (p *Proxy) Addr() netip.AddrPort { return p.ln.Addr().(*net.TCPAddr).AddrPort() }

// Set changes how each direction is forwarded.
func (p *Proxy) Set(to, from Link) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.links = [2]Link{to, from}
	close(p.changed)
	p.changed = make(chan struct{})
}

// Heal forwards all bytes without delay again, except on silenced connections.
func (p *Proxy) Heal() { p.Set(Link{}, Link{}) }

// CutOneWay holds back the bytes of one direction, chosen at random, for d.
func (p *Proxy) CutOneWay(rng *rand.Rand, d time.Duration) {
	if rng.IntN(2) == 0 {
		p.Set(Link{Held: true}, Link{})
	} else {
		p.Set(Link{}, Link{Held: true})
	}
	time.Sleep(d)
	p.Heal()
}

// Silence discards all further bytes of the given directions on each open connection
// for which choose returns true, without closing or resetting it. New connections are
// not affected. It returns how many connections it silenced.
func (p *Proxy) Silence(to, from bool, choose func() bool) (silenced int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for conn := range p.conns {
		if choose() {
			conn.silent[toTarget] = conn.silent[toTarget] || to
			conn.silent[fromTarget] = conn.silent[fromTarget] || from
			silenced++
		}
	}
	return silenced
}

// OpenConnections returns the number of open connections that were not silenced.
func (p *Proxy) OpenConnections() (n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		if !c.silenced() {
			n++
		}
	}
	return n
}

// Reset resets all connections except those that were silenced.
func (p *Proxy) Reset() { p.reset(func(c *proxiedConn) bool { return !c.silenced() }) }

func (p *Proxy) reset(choose func(*proxiedConn) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for conn := range p.conns {
		if !choose(conn) {
			continue
		}
		for _, end := range conn.ends {
			_ = end.SetLinger(0) // Makes Close send a reset.
			_ = end.Close()      // Ends the forwarding of its bytes.
		}
	}
}

// Close stops the proxy, resets all connections and waits for their goroutines.
func (p *Proxy) Close() {
	_ = p.MakeReachable() // Accepts what is queued; if that fails the listener is closed anyway.
	_ = p.ln.Close()      // Ends accept.
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.Heal()
	p.reset(func(*proxiedConn) bool { return true })
	p.wg.Wait()
}

func (p *Proxy) accept() {
	for {
		client, err := p.ln.Accept()
		if err != nil {
			return
		}
		p.mu.Lock()
		reachable := p.reachable
		p.mu.Unlock()
		<-reachable
		p.wg.Go(func() { p.serve(client.(*net.TCPConn)) })
	}
}

const (
	// fillTimeout is how long a filler waits for its connection; on loopback it is made at
	// once if the queue has room.
	fillTimeout = 50 * time.Millisecond
	// maxFillers bounds the fillers: one is accepted, one is queued, and the next ones
	// time out.
	maxFillers    = 8
	normalBacklog = 1024
)

// MakeUnreachable drops the packets with which new connections are requested, as if the
// path to the target were down: it accepts none and keeps the queue full. Open connections
// are not affected; see Silence.
func (p *Proxy) MakeUnreachable() error {
	p.mu.Lock()
	p.reachable = make(chan struct{})
	p.mu.Unlock()
	if err := p.listen(0); err != nil {
		return err
	}
	timeouts := 0
	for range maxFillers {
		c, err := net.DialTimeout("tcp", p.ln.Addr().String(), fillTimeout)
		if err != nil {
			// After the first time-out the accepting goroutine may still take one from the
			// queue.
			if timeouts++; timeouts == 2 {
				return nil
			}
			continue
		}
		p.mu.Lock()
		p.fillers = append(p.fillers, c)
		p.mu.Unlock()
	}
	return errors.New("the queue of connections does not fill up")
}

// MakeReachable accepts new connections again.
func (p *Proxy) MakeReachable() error {
	p.mu.Lock()
	for _, c := range p.fillers {
		_ = c.Close() // It is of no further use.
	}
	p.fillers = nil
	select {
	case <-p.reachable:
	default:
		close(p.reachable)
	}
	p.mu.Unlock()
	return p.listen(normalBacklog)
}

// listen sets how many connections wait to be accepted.
func (p *Proxy) listen(backlog int) error {
	raw, err := p.ln.(*net.TCPListener).SyscallConn()
	if err != nil {
		return err
	}
	var listenErr error
	err = raw.Control(func(fd uintptr) { listenErr = unix.Listen(int(fd), backlog) })
	return errors.Join(err, listenErr)
}

func (p *Proxy) serve(client *net.TCPConn) {
	target, err := net.DialTimeout("tcp", p.target.String(), time.Second)
	if err != nil {
		_ = client.SetLinger(0)
		_ = client.Close() // Reset, as if nothing listened there.
		return
	}
	c := &proxiedConn{ends: [2]*net.TCPConn{client, target.(*net.TCPConn)}}
	if !p.add(c) {
		return
	}
	var wg sync.WaitGroup
	wg.Go(func() { p.forward(c, toTarget) })
	wg.Go(func() { p.forward(c, fromTarget) })
	wg.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	c.close() // Both directions have ended.
	delete(p.conns, c)
}

func (p *Proxy) add(c *proxiedConn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		c.close()
		return false
	}
	p.conns[c] = struct{}{}
	return true
}

// silenced reports whether any direction is silent; the caller holds the proxy's mu.
func (c *proxiedConn) silenced() bool { return c.silent[toTarget] || c.silent[fromTarget] }

func (c *proxiedConn) close() {
	for _, end := range c.ends {
		_ = end.Close() // The connection is of no further use.
	}
}

// forward copies the bytes of one direction until it ends or fails, and then passes
// the close on, so that the other side closes too: HTTP does not use half-closed
// connections.
func (p *Proxy) forward(c *proxiedConn, direction int) {
	from, to := c.ends[direction], c.ends[1-direction]
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 && p.waitToForward(c, direction) {
			if _, e := to.Write(buffer[:n]); e != nil {
				err = e
			}
		}
		if err != nil {
			p.forwardEnd(c, direction)
			return
		}
	}
}

// forwardEnd closes the receiving side's input after the sending side has ended,
// unless the direction is silent.
func (p *Proxy) forwardEnd(c *proxiedConn, direction int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !c.silent[direction] {
		_ = c.ends[1-direction].CloseWrite() // The receiver reads EOF.
	}
}

// waitToForward blocks while the link is held and for its delay; ok is false if the
// direction is silent, so the bytes must be discarded.
func (p *Proxy) waitToForward(c *proxiedConn, direction int) (ok bool) {
	for {
		p.mu.Lock()
		l, changed, silent := p.links[direction], p.changed, c.silent[direction]
		p.mu.Unlock()
		switch {
		case silent:
			return false
		case !l.Held:
			time.Sleep(l.Delay)
			return true
		}
		<-changed
	}
}
