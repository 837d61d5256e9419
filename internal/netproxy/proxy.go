package netproxy

import (
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"
)

// Link is how a proxy treats the bytes of one direction.
type Link struct {
	Held  bool // Nothing passes until it is healed.
	Delay time.Duration
}

// Proxy stands before one address and harms the connections to it.
type Proxy struct {
	ln net.Listener

	mu      sync.Mutex
	target  netip.AddrPort
	links   [2]Link // To the target, and back.
	pairs   map[*pair]struct{}
	changed chan struct{}
	closed  bool
	wg      sync.WaitGroup
}

const (
	toTarget = iota
	fromTarget
)

// pair is one connection through the proxy.
type pair struct {
	ends [2]*net.TCPConn // The client's and the target's.
	// silent directions acknowledge all and pass on nothing, nor their end.
	silent [2]bool
}

// New starts a proxy before a target.
func New(target netip.AddrPort) (*Proxy, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{ln: ln, target: target, pairs: map[*pair]struct{}{}, changed: make(chan struct{})}
	p.wg.Go(p.accept)
	return p, nil
}

// Addr is where the proxy listens.
func (p *Proxy) Addr() netip.AddrPort { return p.ln.Addr().(*net.TCPAddr).AddrPort() }

// Set changes how bytes pass.
func (p *Proxy) Set(to, from Link) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.links = [2]Link{to, from}
	close(p.changed)
	p.changed = make(chan struct{})
}

// Heal lets all bytes pass, but on connections that were silenced.
func (p *Proxy) Heal() { p.Set(Link{}, Link{}) }

// CutOneWay holds the bytes of one direction up for a while.
func (p *Proxy) CutOneWay(rng *rand.Rand, d time.Duration) {
	if rng.IntN(2) == 0 {
		p.Set(Link{Held: true}, Link{})
	} else {
		p.Set(Link{}, Link{Held: true})
	}
	time.Sleep(d)
	p.Heal()
}

// Silence ends what passes on each open connection that pick chooses, for good and
// without a sign to either end; new connections are not touched. It returns how many
// it silenced.
func (p *Proxy) Silence(to, from bool, pick func() bool) (silenced int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.pairs {
		if pick() {
			c.silent[toTarget] = c.silent[toTarget] || to
			c.silent[fromTarget] = c.silent[fromTarget] || from
			silenced++
		}
	}
	return silenced
}

// Open is how many connections are open that were not silenced.
func (p *Proxy) Open() (n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.pairs {
		if !c.hushed() {
			n++
		}
	}
	return n
}

// Reset resets all connections, but those that were silenced.
func (p *Proxy) Reset() { p.reset(func(c *pair) bool { return !c.hushed() }) }

func (p *Proxy) reset(pick func(*pair) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.pairs {
		if !pick(c) {
			continue
		}
		for _, end := range c.ends {
			_ = end.SetLinger(0) // Closing resets then.
			_ = end.Close()      // Its copying ends.
		}
	}
}

// Close ends all connections and waits for their copying.
func (p *Proxy) Close() {
	_ = p.ln.Close() // Accepting ends.
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.Heal()
	p.reset(func(*pair) bool { return true })
	p.wg.Wait()
}

func (p *Proxy) accept() {
	for {
		in, err := p.ln.Accept()
		if err != nil {
			return
		}
		p.wg.Go(func() { p.serve(in.(*net.TCPConn)) })
	}
}

func (p *Proxy) serve(in *net.TCPConn) {
	out, err := net.DialTimeout("tcp", p.target.String(), time.Second)
	if err != nil {
		_ = in.SetLinger(0)
		_ = in.Close() // As if nothing listened.
		return
	}
	c := &pair{ends: [2]*net.TCPConn{in, out.(*net.TCPConn)}}
	if !p.add(c) {
		return
	}
	var wg sync.WaitGroup
	wg.Go(func() { p.copy(c, toTarget) })
	wg.Go(func() { p.copy(c, fromTarget) })
	wg.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	c.close() // Both directions have ended.
	delete(p.pairs, c)
}

func (p *Proxy) add(c *pair) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		c.close()
		return false
	}
	p.pairs[c] = struct{}{}
	return true
}

// hushed says whether a direction is silent; the caller holds the proxy's mu.
func (c *pair) hushed() bool { return c.silent[toTarget] || c.silent[fromTarget] }

func (c *pair) close() {
	for _, end := range c.ends {
		_ = end.Close() // Nothing of it is wanted.
	}
}

// copy passes bytes on until either side ends, which ends both: HTTP knows no
// half-closed connections worth keeping.
func (p *Proxy) copy(c *pair, way int) {
	from, to := c.ends[way], c.ends[1-way]
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 && p.passes(c, way) {
			if _, e := to.Write(buffer[:n]); e != nil {
				err = e
			}
		}
		if err != nil {
			p.end(c, way)
			return
		}
	}
}

// end passes on that one side has ended, unless that is silenced too.
func (p *Proxy) end(c *pair, way int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !c.silent[way] {
		_ = c.ends[1-way].CloseWrite() // The other side reads its end.
	}
}

// passes holds bytes up as the link has it; ok is false if they are to be lost.
func (p *Proxy) passes(c *pair, way int) (ok bool) {
	for {
		p.mu.Lock()
		l, changed, silent := p.links[way], p.changed, c.silent[way]
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
