package gateway

import (
	"expvar"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/drumpath/drumpath/pkg/boottime"
	"github.com/drumpath/drumpath/pkg/history"
	"github.com/drumpath/drumpath/pkg/locks"
	"github.com/drumpath/drumpath/pkg/route"
	"github.com/drumpath/drumpath/pkg/stall"
	"github.com/drumpath/drumpath/service/origins"
	"github.com/drumpath/drumpath/service/ratelimit"
	"github.com/drumpath/drumpath/service/suspects"
)

// Bounds of the latency histograms, in microseconds.
const (
	minMicros         = 1
	maxMicros         = 120_000_000
	significantDigits = 2
)

// latency is a histogram of durations.
type latency struct {
	mu locks.Mutex
	h  *hdrhistogram.Histogram
}

func newLatency() *latency {
	return &latency{h: hdrhistogram.New(minMicros, maxMicros, significantDigits)}
}

func (l *latency) record(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	_ = l.h.RecordValue(min(maxMicros, max(minMicros, d.Microseconds()))) // It is within the bounds.
}

// latencyStatus is the exported summary of a histogram, in milliseconds.
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

// metrics holds a node's counters.
type metrics struct {
	sent              atomic.Int64 // Attempts at replicas.
	answered          atomic.Int64
	endedByClose      atomic.Int64 // Answers without length or chunks that ended with their connection.
	clientsLeft       atomic.Int64
	cutByStop         atomic.Int64
	refusedByReplicas atomic.Int64
	handoffsStarted   atomic.Int64 // Move calls.
	runsResumed       atomic.Int64 // Runs that went on from a copy of their memory.
	resumptionsFailed atomic.Int64 // Attempts to have a run go on from a copy.
	backups           atomic.Int64 // Runs that were sent with a backup.
	copiesDropped     atomic.Int64 // Copies that were not used.
	streams           streamCounts
	promptsWithdrawn  atomic.Int64 // Prompts that waited at an engine until its weights were too old.
	idleConnsClosed   atomic.Int64 // Idle connections to a replica that had stopped answering.
	firstByte         *latency     // From sending the request to the first byte of the response.
	total             *latency     // From receiving the request to the end of the response.
	beforeSending     *latency     // From receiving the request to sending it.
	notConnected      *latency     // Until a connection to a replica was given up.
	impact            *callerImpact

	mu             locks.Mutex
	refused        map[string]int64
	answeredByKind map[string]int64 // Responses by kind of route.
	// hallExits counts the attempts at replicas of other data halls, by reason.
	hallExits map[route.HallExit]int64
}

func newMetrics() *metrics {
	return &metrics{
		firstByte:      newLatency(),
		total:          newLatency(),
		beforeSending:  newLatency(),
		notConnected:   newLatency(),
		impact:         newCallerImpact(),
		refused:        map[string]int64{},
		answeredByKind: map[string]int64{},
		hallExits:      map[route.HallExit]int64{},
	}
}

// countRefusal counts a request that this node refused.
func (m *metrics) countRefusal(reason string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.refused[reason]++
}

// countSent counts an attempt at a replica.
func (m *metrics) countSent(exit route.HallExit) {
	m.sent.Add(1)
	if exit == route.NoHallExit {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.hallExits[exit]++
}

// countAnswer counts a request that got a replica's response.
func (m *metrics) countAnswer(kind string, beforeSending, firstByte, total time.Duration) {
	m.answered.Add(1)
	m.beforeSending.record(beforeSending)
	m.firstByte.record(firstByte)
	m.total.record(total)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.answeredByKind[kind]++
}

// metricsStatus is the exported form of the metrics; docs/METRICS.md describes units and
// meaning.
type metricsStatus struct {
	Answered          int64                        `json:"answered"`
	EndedByClose      int64                        `json:"ended_by_close"`
	AnsweredByKind    map[string]int64             `json:"answered_by_kind"`
	Sent              int64                        `json:"sent"`
	HallExits         map[route.HallExit]int64     `json:"left_hall"`
	ClientsLeft       int64                        `json:"clients_left"`
	CutByStop         int64                        `json:"cut_by_stop"`
	RefusedByReplicas int64                        `json:"refused_by_replicas"`
	IdleConnsClosed   int64                        `json:"resting_connections_closed"`
	PromptsWithdrawn  int64                        `json:"prompts_withdrawn"`
	Runs              runStatus                    `json:"runs"`
	Streams           streamStatus                 `json:"streams"`
	Refused           map[string]int64             `json:"refused"`
	InFlight          int64                        `json:"in_flight"`
	FirstByte         latencyStatus                `json:"first_byte"`
	Total             latencyStatus                `json:"whole"`
	BeforeSending     latencyStatus                `json:"before_sending"`
	NotConnected      latencyStatus                `json:"not_connected"`
	Queues            map[string]route.QueueStatus `json:"queues"`
	ServiceWaits      map[string][]float64         `json:"service_wait_s"`
	ConfigVersion     int64                        `json:"configuration"`
	StoreEra          history.Era                  `json:"store_era"`
	UpstreamListAge   float64                      `json:"upstreams_age_s"`
	Nodes             int                          `json:"nodes"`
	NotesDropped      int64                        `json:"notes_dropped"`
	Replicas          map[string]replicaCount      `json:"replicas"`
	NamedWeights      map[string]int64             `json:"weights_named"`
	WeightsAge        map[string]float64           `json:"weights_age_s"`
	UnusableRows      int64                        `json:"upstream_rows_unusable"`
	EvacuatedHalls    []string                     `json:"evacuated"`
	Stores            []route.StoreStatus          `json:"stores"`
	Suspects          suspects.Status              `json:"suspects"`
	Limits            ratelimit.Status             `json:"limits"`
	Origins           origins.Status               `json:"origins"`
	Retries           map[string]route.RetryStatus `json:"retries"`
	Suspensions       int64                        `json:"suspensions"`
	ResponseMemory    responseMemoryStatus         `json:"response_memory"`
	RequestBytes      int64                        `json:"request_bytes"`
	CallerImpact      callerImpactStatus           `json:"caller_impact"`
	ReplicaChecks     replicaChecksStatus          `json:"replica_checks"`
	ReplicaPaths      replicaPathsStatus           `json:"replica_paths"`
	Forwarding        forwardingStatus             `json:"forwarding"`
	Stalls            stall.Status                 `json:"stalls"`
}

// runStatus counts what became of copies of runs.
type runStatus struct {
	Moves         int64 `json:"moves"`
	Resumed       int64 `json:"resumed"`
	NotResumed    int64 `json:"not_resumed"`
	Backups       int64 `json:"backups"`
	CopiesDropped int64 `json:"copies_dropped"`
}

// replicaCount is the number of a service's replicas, and of those that can be used.
type replicaCount struct {
	All    int `json:"all"`
	Usable int `json:"usable"`
	Cold   int `json:"cold"`
	// Losing means that so many were lost lately that runs have backups.
	Losing bool `json:"losing,omitempty"`
	// Brittle means that its replicas say that they are brittle.
	Brittle bool `json:"brittle,omitempty"`
	// Excluded counts the replicas that take no requests, by reason.
	Excluded map[route.Exclusion]int `json:"excluded,omitempty"`
}

// status collects the exported metrics.
func (g *Gateway) status() metricsStatus {
	now := boottime.Now()
	m := g.metrics
	s := metricsStatus{
		Answered:          m.answered.Load(),
		EndedByClose:      m.endedByClose.Load(),
		Sent:              m.sent.Load(),
		HallExits:         map[route.HallExit]int64{},
		ClientsLeft:       m.clientsLeft.Load(),
		CutByStop:         m.cutByStop.Load(),
		RefusedByReplicas: m.refusedByReplicas.Load(),
		IdleConnsClosed:   m.idleConnsClosed.Load(),
		PromptsWithdrawn:  m.promptsWithdrawn.Load(),
		Runs: runStatus{
			Moves:         m.handoffsStarted.Load(),
			Resumed:       m.runsResumed.Load(),
			NotResumed:    m.resumptionsFailed.Load(),
			Backups:       m.backups.Load(),
			CopiesDropped: m.copiesDropped.Load(),
		},
		Streams:        m.streams.status(),
		InFlight:       g.inFlight.Load(),
		FirstByte:      m.firstByte.status(),
		Total:          m.total.status(),
		BeforeSending:  m.beforeSending.status(),
		NotConnected:   m.notConnected.status(),
		AnsweredByKind: map[string]int64{},
		Refused:        map[string]int64{},
		Queues:         map[string]route.QueueStatus{},
		ServiceWaits:   map[string][]float64{},
		Replicas:       map[string]replicaCount{},
		Nodes:          g.nodes.count(),
		NotesDropped:   g.nodes.notesDropped.Load(),
		NamedWeights:   g.siteState.NewestWeights(),
		WeightsAge:     g.siteState.newestWeightsAge(now),
		UnusableRows:   g.siteState.UnusableRows(),
		EvacuatedHalls: g.siteState.EvacuatedHalls(),
		Stores:         g.cacheIndex.Status(),
		Suspects:       g.suspects.Status(),
		Limits:         g.rateLimits.Status(),
		Origins:        g.origins.Status(),
		Retries:        g.retryStatus(now),
		Suspensions:    g.suspension.count.Load(),
		ResponseMemory: g.responses.status(),
		CallerImpact:   m.impact.status(),
		ReplicaChecks:  g.reach.counts.status(g.conns.aborted.Load()),
		ReplicaPaths:   g.reach.paths(now),
		Forwarding:     g.forwarding.status(now),
		Stalls:         g.stalls.Status(),
	}
	if r := g.siteState.requestBytes; r != nil {
		s.RequestBytes = r.Least()
	}
	s.StoreEra, _, _ = g.platform.Store.Eras().Current()
	config, listAge, _ := g.siteState.Ages(now)
	s.ConfigVersion, s.UpstreamListAge = config, listAge.Seconds()
	for service, p := range g.siteState.Pools() {
		all, usable := p.Count(now)
		s.ServiceWaits[service] = p.ServiceWaits(now)
		s.Replicas[service] = replicaCount{All: all, Usable: usable, Cold: p.CountCold(now), Losing: p.LosingReplicas(now), Brittle: p.Brittle(now), Excluded: p.Excluded(now)}
	}
	m.copyCounts(&s)
	g.queuesMu.Lock()
	defer g.queuesMu.Unlock()
	for service, queue := range g.queues {
		s.Queues[service] = queue.Status()
	}
	return s
}

func (m *metrics) copyCounts(s *metricsStatus) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for reason, count := range m.refused {
		s.Refused[reason] = count
	}
	for kind, count := range m.answeredByKind {
		s.AnsweredByKind[kind] = count
	}
	for exit, count := range m.hallExits {
		s.HallExits[exit] = count
	}
}

// MetricsVar exports the metrics through expvar.
func (g *Gateway) MetricsVar() expvar.Func {
	return func() any { return g.status() }
}
