package route

import "time"

// InFlightRequest is one of this node's own requests in flight at a replica.
type InFlightRequest struct {
	pool     *Pool
	member   *member
	tokens   int
	band     int
	memory   int     // Tokens held of an engine's memory.
	read     int     // Tokens expected to be read, with those before it.
	fetch    float64 // Expected time of its fetch, in seconds.
	begun    time.Time
	expected time.Duration
	plain    time.Duration // As in Choice.
	first    bool
	ended    bool
}

// Begin records that a request is sent to a chosen replica.
func (p *Pool) Begin(c Choice, now time.Time) *InFlightRequest {
	p.mu.Lock()
	defer p.mu.Unlock()
	m, ok := p.replicas[c.ID]
	if !ok {
		// It has just left; the request goes there all the same.
		m = &member{Upstream: c.Upstream, flights: map[*InFlightRequest]struct{}{}, late: 1}
	}
	k := &InFlightRequest{
		pool:     p,
		member:   m,
		tokens:   c.Read,
		memory:   c.Memory,
		band:     c.Band,
		read:     c.Read + c.Ahead,
		fetch:    c.Fetch.Seconds(),
		begun:    now,
		expected: c.Expected,
		plain:    c.Plain,
	}
	m.flights[k] = struct{}{}
	m.pending[k.band] += c.Read
	m.memory += c.Memory
	return k
}

// FirstByte records that the first byte of the answer has come. It returns by how
// much later than expected.
func (k *InFlightRequest) FirstByte(now time.Time) (excess time.Duration) {
	k.pool.mu.Lock()
	defer k.pool.mu.Unlock()
	k.noteFirst(now)
	return now.Sub(k.begun) - k.expected
}

func (k *InFlightRequest) noteFirst(now time.Time) {
	if k.first {
		return
	}
	k.first = true
	k.member.pending[k.band] -= k.tokens
	took := now.Sub(k.begun)
	ratio := min(mostLateness, max(took, leastExpected).Seconds()/max(k.plain, leastExpected).Seconds())
	k.member.late = k.pool.ownLate(k.member, now)
	k.member.late += lateShare * (ratio - k.member.late)
	k.member.lateAt = now
	k.pool.late += learnShare * (ratio - k.pool.late)
	k.pool.learn(k, took.Seconds())
}

// minSample is the least prompt from which the time to read a token is learnt;
// from less, the time that any answer takes is.
const minSample = 1024

// learn fits the time to the first byte as a base and a time for each token.
func (p *Pool) learn(k *InFlightRequest, took float64) {
	if k.tokens == 0 {
		return
	}
	took -= k.fetch
	if k.read < minSample {
		p.base += learnShare * (max(0, took-p.perToken*float64(k.read)) - p.base)
		return
	}
	p.perToken += learnShare * (max(0, took-p.base)/float64(k.read) - p.perToken)
}

// End records how the request ended; later calls do nothing.
func (k *InFlightRequest) End(o Outcome, now time.Time) {
	p := k.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	if k.ended {
		return
	}
	k.ended = true
	m := k.member
	delete(m.flights, k)
	m.memory -= k.memory
	switch {
	case k.first:
	case o == OutcomeOK:
		k.noteFirst(now)
	default:
		m.pending[k.band] -= k.tokens
	}
	if o == OutcomeOK && k.memory > 0 {
		p.memory.record(k.memory, now.Sub(k.begun))
	}
	if o == OutcomeOK && k.tokens == 0 {
		p.meanRun += time.Duration(learnShare * float64(now.Sub(k.begun)-p.meanRun))
	}
	p.note(m, o, now)
}
