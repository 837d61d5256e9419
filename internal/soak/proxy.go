package soak

import (
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"
)

// link is how a proxy treats the bytes of one direction.
type link struct {
	held  bool // Nothing passes until it is healed.
	delay time.Duration
}

// proxy stands before one address and harms the connections to it.
type proxy struct {
	ln net.Listener

	mu      sync.Mutex
	target  netip.AddrPort
	links   [2]link // To the target, and back.
	conns   map[*net.TCPConn]struct{}
	changed chan struct{}
	closed  bool
	wg      sync.WaitGroup
}

const (
	toTarget = iota
	fromTarget
)

func newProxy(target netip.AddrPort) (*proxy, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{ln: ln, target: target, conns: map[*net.TCPConn]struct{}{}, changed: make(chan struct{})}
	p.wg.Go(p.accept)
	return p, nil
}

func (p *proxy) addr() netip.AddrPort { return p.ln.Addr().(*net.TCPAddr).AddrPort() }

// set changes how bytes pass.
func (p *proxy) set(to, from link) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.links = [2]link{to, from}
	close(p.changed)
	p.changed = make(chan struct{})
}

func (p *proxy) heal() { p.set(link{}, link{}) }

// cutOneWay holds the bytes of one direction up for a while.
func (p *proxy) cutOneWay(rng *rand.Rand, d time.Duration) {
	if rng.IntN(2) == 0 {
		p.set(link{held: true}, link{})
	} else {
		p.set(link{}, link{held: true})
	}
	time.Sleep(d)
	p.heal()
}

// reset resets all connections.
func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		_ = c.SetLinger(0) // Closing resets then.
		_ = c.Close()      // Its copying ends.
	}
}

// close ends all connections and waits for their copying.
func (p *proxy) close() {
	_ = p.ln.Close() // Accepting ends.
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.heal()
	p.reset()
	p.wg.Wait()
}

func (p *proxy) accept() {
	for {
		in, err := p.ln.Accept()
		if err != nil {
			return
		}
		p.wg.Go(func() { p.serve(in.(*net.TCPConn)) })
	}
}

func (p *proxy) serve(in *net.TCPConn) {
	out, err := net.DialTimeout("tcp", p.target.String(), time.Second)
	if err != nil {
		_ = in.SetLinger(0)
		_ = in.Close() // As if nothing listened.
		return
	}
	pair := [2]*net.TCPConn{in, out.(*net.TCPConn)}
	if !p.add(pair) {
		return
	}
	var wg sync.WaitGroup
	wg.Go(func() { p.copy(pair[1], pair[0], toTarget) })
	wg.Go(func() { p.copy(pair[0], pair[1], fromTarget) })
	wg.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range pair {
		_ = c.Close() // Both directions have ended.
		delete(p.conns, c)
	}
}

func (p *proxy) add(pair [2]*net.TCPConn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range pair {
		if p.closed {
			_ = c.Close() // The proxy has ended.
			continue
		}
		p.conns[c] = struct{}{}
	}
	return !p.closed
}

// copy passes bytes on until either side ends, which ends both: HTTP knows no
// half-closed connections worth keeping.
func (p *proxy) copy(to, from *net.TCPConn, way int) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			p.wait(way)
			if _, e := to.Write(buffer[:n]); e != nil {
				err = e
			}
		}
		if err != nil {
			_ = to.CloseWrite() // The other side reads its end.
			return
		}
	}
}

// wait holds bytes up as the link has it.
func (p *proxy) wait(way int) {
	for {
		p.mu.Lock()
		l, changed := p.links[way], p.changed
		p.mu.Unlock()
		if !l.held {
			time.Sleep(l.delay)
			return
		}
		<-changed
	}
}
