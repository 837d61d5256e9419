package tablestore

import (
	"net/http"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/drumpath/drumpath/pkg/httpjson"
)

const (
	breakerFailures = 3
	breakerMinWait  = 200 * time.Millisecond
	breakerMaxWait  = 5 * time.Second
)

// Breaker stops calls to a service that does not answer, and lets single calls
// through after growing, jittered waits.
type Breaker struct {
	mu       sync.Mutex
	failures int
	until    time.Time
	waits    *backoff.ExponentialBackOff
}

// NewBreaker returns a closed breaker.
func NewBreaker() *Breaker {
	waits := backoff.NewExponentialBackOff()
	waits.InitialInterval = breakerMinWait
	waits.MaxInterval = breakerMaxWait
	return &Breaker{waits: waits}
}

// Allow says whether a call may be made now; once the wait has passed it lets
// one call through and starts the next wait.
func (b *Breaker) Allow(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.failures < breakerFailures {
		return true
	}
	if now.Before(b.until) {
		return false
	}
	b.until = now.Add(b.waits.NextBackOff())
	return true
}

// Open says whether calls are being stopped.
func (b *Breaker) Open(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.failures >= breakerFailures && now.Before(b.until)
}

// Done records how a call ended; an answer of any status below 500 counts as
// the service being there.
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
		b.until = now.Add(b.waits.NextBackOff())
	}
}
