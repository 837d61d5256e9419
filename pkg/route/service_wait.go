package route

import (
	"math"
	"math/rand/v2"
	"time"
)

// Overload is decided for a service as a whole: nodes report the prompts that wait in their
// queues, so that each node expects the same wait for a priority band, and all shed the same
// requests, the least urgent first. Otherwise a node with a short queue admits what another
// one refuses, and streams are held until their clients leave.

const (
	// rateMeanTime is the time over which the rate of a service's engines is averaged.
	rateMeanTime = 10 * time.Second
	// maxRateRatio bounds an observed rate relative to its mean, in both directions: after
	// a stall or a burst of cached prompts it may be far off.
	maxRateRatio = 4
	// usableCountAge is how long a count of usable replicas is used: counting ten thousand
	// takes some 0.1 ms, and there are up to 50 decisions a second and band.
	usableCountAge = 100 * time.Millisecond
	// minShedRetryAfter is the least Retry-After of a request that a queue refuses: a client
	// that retries sooner would find the same queue.
	minShedRetryAfter = 250 * time.Millisecond
	// retryAfterJitter is the largest random share that is added to a Retry-After, so that
	// clients that were refused together don't return together.
	retryAfterJitter = 0.5
	// maxRetryAfterShare is the largest share of the time that a client still waits.
	maxRetryAfterShare = 1.0 / 3
	// shedTargetShare is the share of its target for which a request may wait before it is
	// refused because of the service's overload.
	shedTargetShare = 0.25
)

// rateMean is the mean rate of a service's engines, in tokens a second.
type rateMean struct {
	mean float64
	at   time.Time
}

// bounded adds an observed rate to the mean and returns it within the bounds.
func (r *rateMean) bounded(observed float64, now time.Time) float64 {
	if r.at.IsZero() {
		r.mean = observed
	} else {
		r.mean += (1 - math.Exp(-max(0, now.Sub(r.at).Seconds())/rateMeanTime.Seconds())) * (observed - r.mean)
	}
	r.at = now
	return min(maxRateRatio*r.mean, max(r.mean/maxRateRatio, observed))
}

// SetService names the service, which identifies its queues in the loads that nodes report.
func (p *Pool) SetService(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.queueKey = HashName("queue/" + name)
}

// setQueued sets the prompts that wait in this node's queue.
func (p *Pool) setQueued(load PeerLoad) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.queued = load
}

// serviceWait is how long a prompt of a band waits by what all nodes have queued and sent,
// 0 if that is switched off or no replica can be used.
func (p *Pool) serviceWait(band int, now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.disabled.ServiceWideShedding {
		return 0
	}
	replicas := float64(p.usableReplicas(now))
	if replicas == 0 {
		return 0
	}
	all := p.heldEverywhere().Plus(p.queued).Plus(p.peerQueued)
	rate := p.engineRate.bounded(replicas/max(p.secondsPerToken, minSecondsPerToken), now)
	wait := float64(all.Tokens.sumUpTo(band)) / rate
	if p.engineMemory > 0 && !p.disabled.MemoryAwarePlacement {
		capacity := replicas * float64(p.engineMemory)
		excess := float64(all.memoryUpTo(band)) - usableMemoryShare*capacity
		wait = max(wait, excess/capacity*p.memory.meanHoldSeconds(band))
	}
	return seconds(wait)
}

// ServiceWaits returns the expected wait of each priority band in seconds, by the loads of all
// nodes.
func (p *Pool) ServiceWaits(now time.Time) []float64 {
	var list []float64
	for band := range bandCount {
		list = append(list, p.serviceWait(band, now).Seconds())
	}
	return list
}

// minSecondsPerToken bounds the rate of an engine that seems to take no time.
const minSecondsPerToken = 1e-6

// usableReplicas counts the replicas that take prompts; the caller holds mu.
func (p *Pool) usableReplicas(now time.Time) int {
	if age := now.Sub(p.usableAt); !p.usableAt.IsZero() && age >= 0 && age < usableCountAge {
		return p.usable
	}
	p.usable, p.usableAt = 0, now
	for _, m := range p.members {
		if m.usable(now) {
			p.usable++
		}
	}
	return p.usable
}

// retryAfter is when a refused client should return: when the wait is expected to be below
// half of the target, as the backlog shrinks while requests are refused, and not so late
// that the client would have left.
func (r *QueueRequest) retryAfter(wait time.Duration, now time.Time) time.Duration {
	d := max(minShedRetryAfter, wait-r.Target/2)
	d += time.Duration(rand.Float64() * retryAfterJitter * float64(d))
	if !r.ClientLeaves.IsZero() {
		left := max(0, r.ClientLeaves.Sub(now))
		d = min(d, time.Duration(maxRetryAfterShare*float64(left)))
	}
	return max(minHeaderRetryAfter, d)
}

// minHeaderRetryAfter is the least Retry-After that a header shows, with two decimals.
const minHeaderRetryAfter = 10 * time.Millisecond
