package gateway

import (
	"expvar"
	"sync"
	"sync/atomic"
)

// metrics are the counters of a node.
type metrics struct {
	answered atomic.Int64
	left     atomic.Int64
	notRun   atomic.Int64

	mu      sync.Mutex
	refused map[string]int64
}

func newMetrics() *metrics { return &metrics{refused: map[string]int64{}} }

func (m *metrics) refusal(reason string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.refused[reason]++
}

// metricsStatus is what is served and dumped.
type metricsStatus struct {
	Answered int64            `json:"answered"`
	Left     int64            `json:"clients_left"`
	NotRun   int64            `json:"refused_by_replicas"`
	Refused  map[string]int64 `json:"refused"`
}

func (m *metrics) status() metricsStatus {
	m.mu.Lock()
	defer m.mu.Unlock()
	refused := make(map[string]int64, len(m.refused))
	for reason, n := range m.refused {
		refused[reason] = n
	}
	return metricsStatus{
		Answered: m.answered.Load(),
		Left:     m.left.Load(),
		NotRun:   m.notRun.Load(),
		Refused:  refused,
	}
}

// MetricsVar is the node's counters for expvar.
func (g *Gateway) MetricsVar() expvar.Func {
	return func() any { return g.metrics.status() }
}
