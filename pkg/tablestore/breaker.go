package tablestore

import (
	"net/http"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/drumpath/drumpath/pkg/httpjson"
	"github.com/drumpath/drumpath/pkg/locks"
)

const (
	breakerFailures = 3
	breakerMinWait  = 200 * time.Millisecond
	breakerMaxWait  = 5 * time.Second
)

// Breaker is a circuit breaker: it stops calls to a service that does not answer, and
// allows single calls after increasing, jittered waits.
type Breaker struct {
	mu       locks.Mutex
	failures int
	retryAt  time.Time
	waits    *backoff.ExponentialBackOff
}

// NewBreaker returns a closed breaker.
func NewBreaker() *Breaker {
	waits := backoff.NewExponentialBackOff()
	waits.InitialInterval = breakerMinWait
	waits.MaxInterval = breakerMaxWait
	return &Breaker{waits: waits}
}

// Allow reports whether a call may be made now. Once the wait has passed it allows one
// call and starts the next wait.
func (b *Breaker) Allow(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.failures < breakerFailures {
		return true
	}
	if now.Before(b.retryAt) {
		return false
	}
	b.retryAt = now.Add(b.waits.NextBackOff())
	return true
}

// Open reports whether calls are currently stopped.
func (b *Breaker) Open(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.failures >= breakerFailures && now.Before(b.retryAt)
}

// Done records the result of a call. Any answer with a status below 500 shows that
// the service is available.
func (b *Breaker) Done(err error, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	code := httpjson.StatusCode(err)
	if err == nil || (code > 0 && code < http.StatusInternalServerError) {
		b.failures = 0
		b.waits.Reset()
		return
	}
	b.failures++
	if b.failures == breakerFailures {
		b.retryAt = now.Add(b.waits.NextBackOff())
	}
}
