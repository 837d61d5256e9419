package route

import "time"

// InFlightRequest is a request that this node has in flight at a replica.
type InFlightRequest struct {
	pool                  *Pool
	member                *member
	tokens                int
	priorityBand          int
	memory                int     // Engine memory that it holds, in tokens.
	bytes                 int64   // Of its body.
	exceedsBytes          bool    // See ExceedsBytes.
	exceedsSlots          bool    // See ExceedsSlots.
	tokensWithAhead       int     // Tokens to prefill, its own and those queued before it.
	fetchSeconds          float64 // Expected time of its KV cache fetch.
	startedAt             time.Time
	expected              time.Duration
	expectedAtMeanLatency time.Duration // See Choice.
	firstByteSeen         bool
	resumed               bool // It goes on from a copy of its memory, see BeginResumed.
	ended                 bool
	prefill               *partPrefill // Of the shared parts that it prefills, may be nil.
}

// Begin records that a request is sent to a chosen replica.
func (p *Pool) Begin(c Choice, now time.Time) *InFlightRequest {
	p.mu.Lock()
	defer p.mu.Unlock()
	m, ok := p.byID[c.ID]
	if !ok {
		// It has just been removed; the request is sent there all the same.
		m = &member{Upstream: c.Upstream, index: notListed, latencyRatio: 1}
	} else {
		p.busy[m] = struct{}{}
	}
	request := &InFlightRequest{
		pool:                  p,
		member:                m,
		tokens:                c.PrefillTokens,
		memory:                c.Memory,
		bytes:                 c.Bytes,
		exceedsBytes:          !p.hasRoomForBytes(m, m.sentBytes, c.Bytes),
		exceedsSlots:          !p.hasSlotShare(m, len(m.inFlight), now),
		priorityBand:          c.Band,
		tokensWithAhead:       c.PrefillTokens + c.TokensAhead,
		fetchSeconds:          c.Fetch.Seconds(),
		startedAt:             now,
		expected:              c.Expected,
		expectedAtMeanLatency: c.ExpectedAtMeanLatency,
	}
	if m.inFlight == nil {
		m.inFlight = map[*InFlightRequest]struct{}{}
	}
	m.inFlight[request] = struct{}{}
	m.pendingTokens[request.priorityBand] += c.PrefillTokens
	m.heldMemory[request.priorityBand] += c.Memory
	m.sentBytes += c.Bytes
	request.prefill = p.beginPrefill(c.prefills, m, now)
	return request
}

// FirstByte records that the first byte of the answer has arrived. It returns by how much
// later than expected.
func (r *InFlightRequest) FirstByte(now time.Time) (excess time.Duration) {
	r.pool.mu.Lock()
	defer r.pool.mu.Unlock()
	r.recordFirstByte(now)
	return now.Sub(r.startedAt) - r.expected
}

func (r *InFlightRequest) recordFirstByte(now time.Time) {
	if r.firstByteSeen {
		return
	}
	r.firstByteSeen = true
	r.prefill.end(now.Add(cacheReportDelay))
	r.member.pendingTokens[r.priorityBand] -= r.tokens
	if r.resumed {
		return
	}
	elapsed := now.Sub(r.startedAt)
	ratio := min(maxLatencyRatio, max(elapsed, minExpectedTime).Seconds()/max(r.expectedAtMeanLatency, minExpectedTime).Seconds())
	r.member.latencyRatio = r.pool.latencyRatio(r.member, now)
	r.member.latencyRatio += latencyRatioWeight * (ratio - r.member.latencyRatio)
	r.member.latencyRatioAt = now
	r.pool.meanLatencyRatio += learnWeight * (ratio - r.pool.meanLatencyRatio)
	r.pool.learnPrefillTime(r, elapsed.Seconds())
}

// minPrefillSample is the least number of tokens from which the time per token is learnt;
// smaller samples are used for the base time.
const minPrefillSample = 1024

// learnPrefillTime updates the base time and the time per token from the time to the first
// byte.
func (p *Pool) learnPrefillTime(request *InFlightRequest, elapsedSeconds float64) {
	if request.tokens == 0 {
		return
	}
	elapsedSeconds -= request.fetchSeconds
	if request.tokensWithAhead < minPrefillSample {
		p.baseSeconds += learnWeight * (max(0, elapsedSeconds-p.secondsPerToken*float64(request.tokensWithAhead)) - p.baseSeconds)
		return
	}
	p.secondsPerToken += learnWeight * (max(0, elapsedSeconds-p.baseSeconds)/float64(request.tokensWithAhead) - p.secondsPerToken)
}

// End records how the request ended. Further calls do nothing.
func (r *InFlightRequest) End(o Outcome, now time.Time) {
	p := r.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	if r.ended {
		return
	}
	r.ended = true
	m := r.member
	delete(m.inFlight, r)
	p.dropIfIdle(m)
	m.heldMemory[r.priorityBand] -= r.memory
	m.sentBytes -= r.bytes
	switch {
	case r.firstByteSeen:
	case o == OutcomeOK:
		r.recordFirstByte(now)
	default:
		m.pendingTokens[r.priorityBand] -= r.tokens
		r.prefill.end(time.Time{})
	}
	if o == OutcomeOK && r.memory > 0 {
		p.memory.record(r.priorityBand, r.memory, now.Sub(r.startedAt))
	}
	if o == OutcomeOK && r.tokens == 0 && !r.resumed {
		p.meanRequestTime += time.Duration(learnWeight * float64(now.Sub(r.startedAt)-p.meanRequestTime))
	}
	p.recordOutcome(m, o, now)
}
