package gateway

import (
	"expvar"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/drumpath/drumpath/pkg/boottime"
	"github.com/drumpath/drumpath/pkg/route"
	"github.com/drumpath/drumpath/service/ratelimit"
	"github.com/drumpath/drumpath/service/suspects"
)

// Bounds of the latency histograms, in microseconds.
const (
	leastMicros = 1
	mostMicros  = 120_000_000
	digits      = 2
)

// latency is a histogram of durations.
type latency struct {
	mu sync.Mutex
	h  *hdrhistogram.Histogram
}

func newLatency() *latency { return &latency{h: hdrhistogram.New(leastMicros, mostMicros, digits)} }

func (l *latency) record(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	_ = l.h.RecordValue(min(mostMicros, max(leastMicros, d.Microseconds()))) // It is within the bounds.
}

// latencyStatus is what is served of a histogram, in milliseconds.
type latencyStatus struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50_ms"`
	P95   float64 `json:"p95_ms"`
	P99   float64 `json:"p99_ms"`
	Max   float64 `json:"max_ms"`
}

func (l *latency) status() latencyStatus {
	l.mu.Lock()
	defer l.mu.Unlock()
	ms := func(micros int64) float64 { return float64(micros) / 1000 }
	return latencyStatus{
		Count: l.h.TotalCount(),
		P50:   ms(l.h.ValueAtQuantile(50)),
		P95:   ms(l.h.ValueAtQuantile(95)),
		P99:   ms(l.h.ValueAtQuantile(99)),
		Max:   ms(l.h.Max()),
	}
}

// metrics are the counters of a node.
type metrics struct {
	answered atomic.Int64
	left     atomic.Int64
	cut      atomic.Int64
	notRun   atomic.Int64
	dropped  atomic.Int64 // Resting connections that were taken to be silent.
	first    *latency     // To the first byte, from the request's sending.
	whole    *latency     // To the end, from the request's coming.
	queued   *latency     // Before the request is sent.

	mu      sync.Mutex
	refused map[string]int64
	kinds   map[string]int64 // Answers by kind of route.
}

func newMetrics() *metrics {
	return &metrics{
		first:   newLatency(),
		whole:   newLatency(),
		queued:  newLatency(),
		refused: map[string]int64{},
		kinds:   map[string]int64{},
	}
}

func (m *metrics) refusal(reason string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.refused[reason]++
}

// answer counts a request that got a replica's answer.
func (m *metrics) answer(kind string, before, first, whole time.Duration) {
	m.answered.Add(1)
	m.queued.record(before)
	m.first.record(first)
	m.whole.record(whole)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.kinds[kind]++
}

// metricsStatus is what is served; docs/METRICS.md tells units and meaning.
type metricsStatus struct {
	Answered int64                        `json:"answered"`
	Kinds    map[string]int64             `json:"answered_by_kind"`
	Left     int64                        `json:"clients_left"`
	Cut      int64                        `json:"cut_by_stop"`
	NotRun   int64                        `json:"refused_by_replicas"`
	Dropped  int64                        `json:"resting_connections_closed"`
	Refused  map[string]int64             `json:"refused"`
	InFlight int64                        `json:"in_flight"`
	First    latencyStatus                `json:"first_byte"`
	Whole    latencyStatus                `json:"whole"`
	Queued   latencyStatus                `json:"before_sending"`
	Queues   map[string]route.QueueStatus `json:"queues"`
	Config   int64                        `json:"configuration"`
	ListAge  float64                      `json:"upstreams_age_s"`
	Nodes    int                          `json:"nodes"`
	Unread   int64                        `json:"notes_dropped"`
	Replicas map[string]replicaCount      `json:"replicas"`
	Weights  map[string]int64             `json:"weights_named"`
	Unusable int64                        `json:"upstream_rows_unusable"`
	Away     []string                     `json:"evacuated"`
	Stores   []route.StoreStatus          `json:"stores"`
	Suspects suspects.Status              `json:"suspects"`
	Limits   ratelimit.Status             `json:"limits"`
	Slept    int64                        `json:"suspensions"`
}

// replicaCount is how many replicas a service has, and how many may be used.
type replicaCount struct {
	All    int `json:"all"`
	Usable int `json:"usable"`
	Cold   int `json:"cold"`
	// Excluded are those that take no request at all, by reason.
	Excluded map[route.Exclusion]int `json:"excluded,omitempty"`
}

// status collects what is served.
func (g *Gateway) status() metricsStatus {
	now := boottime.Now()
	m := g.metrics
	s := metricsStatus{
		Answered: m.answered.Load(),
		Left:     m.left.Load(),
		Cut:      m.cut.Load(),
		NotRun:   m.notRun.Load(),
		Dropped:  m.dropped.Load(),
		InFlight: g.inFlight.Load(),
		First:    m.first.status(),
		Whole:    m.whole.status(),
		Queued:   m.queued.status(),
		Kinds:    map[string]int64{},
		Refused:  map[string]int64{},
		Queues:   map[string]route.QueueStatus{},
		Replicas: map[string]replicaCount{},
		Nodes:    g.nodes.count(),
		Unread:   g.nodes.dropped.Load(),
		Weights:  g.beliefs.NewestWeights(),
		Unusable: g.beliefs.UnusableRows(),
		Away:     g.beliefs.EvacuatedHalls(),
		Stores:   g.kept.Status(),
		Suspects: g.suspects.Status(),
		Limits:   g.rateLimits.Status(),
		Slept:    g.suspension.count.Load(),
	}
	config, heard, _ := g.beliefs.Ages(now)
	s.Config, s.ListAge = config, heard.Seconds()
	for service, p := range g.beliefs.Pools() {
		all, usable := p.Count(now)
		s.Replicas[service] = replicaCount{All: all, Usable: usable, Cold: p.CountCold(now), Excluded: p.Excluded(now)}
	}
	m.copyCounts(&s)
	g.queuesMu.Lock()
	defer g.queuesMu.Unlock()
	for service, a := range g.queues {
		s.Queues[service] = a.Status()
	}
	return s
}

func (m *metrics) copyCounts(s *metricsStatus) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for reason, n := range m.refused {
		s.Refused[reason] = n
	}
	for kind, n := range m.kinds {
		s.Kinds[kind] = n
	}
}

// MetricsVar is the node's counters for expvar.
func (g *Gateway) MetricsVar() expvar.Func {
	return func() any { return g.status() }
}
