package standin

import (
	"sync"
	"time"

	"github.com/drumpath/drumpath/pkg/upstream"
)

// delayedLoad reports a load that may be out of date by up to refreshInterval.
type delayedLoad struct {
	refreshInterval time.Duration
	measure         func() upstream.LoadReport

	mu         sync.Mutex
	reportTime time.Time
	report     upstream.LoadReport
}

func newDelayedLoad(refreshInterval time.Duration, measure func() upstream.LoadReport) *delayedLoad {
	return &delayedLoad{refreshInterval: refreshInterval, measure: measure}
}

// get measures the load again only when the last report is older than
// refreshInterval.
func (l *delayedLoad) get() upstream.LoadReport {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.reportTime.IsZero() || time.Since(l.reportTime) > l.refreshInterval {
		l.report = l.measure()
		l.reportTime = time.Now()
	}
	report := l.report
	report.AgeMillis = time.Since(l.reportTime).Milliseconds()
	return report
}
