package standin

import (
	"sync"
	"time"

	"github.com/drumpath/drumpath/pkg/upstream"
)

// laggingLoad reports a load as it was some time ago.
type laggingLoad struct {
	lag time.Duration
	now func() upstream.LoadReport

	mu    sync.Mutex
	at    time.Time
	taken upstream.LoadReport
}

func newLaggingLoad(lag time.Duration, now func() upstream.LoadReport) *laggingLoad {
	return &laggingLoad{lag: lag, now: now}
}

// get takes a new report only when the last is older than the lag.
func (l *laggingLoad) get() upstream.LoadReport {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.at.IsZero() || time.Since(l.at) > l.lag {
		l.taken = l.now()
		l.at = time.Now()
	}
	r := l.taken
	r.AgeMillis = time.Since(l.at).Milliseconds()
	return r
}
