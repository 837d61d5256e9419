package standin

import (
	"context"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/drumpath/drumpath/pkg/upstream"
)

// Priorities on links: imports that a caller waits on go before exports.
const (
	priorityExport = 0
	priorityImport = 1
)

// EngineConfig sizes an engine.
type EngineConfig struct {
	Model       string  `json:"model"`
	Weights     string  `json:"weights"`
	Slots       int     `json:"slots"`
	MaxQueue    int     `json:"max_queue"`
	PrefillRate float64 `json:"prefill_rate"` // Tokens a second.
	DecodeMS    float64 `json:"decode_ms"`    // Between tokens.
	CacheTokens int     `json:"cache_tokens"` // Size of the prefix cache.
	LinkRate    float64 `json:"link_rate"`    // Bytes a second.
	TokenBytes  int     `json:"token_bytes"`  // Kept state of one token.
	ReportLagMS int64   `json:"report_lag_ms"`
	EventLagMS  int64   `json:"event_lag_ms"`
	LoadMS      int64   `json:"load_ms"` // To swap weights.
	Unfenced    bool    `json:"unfenced"`
	// EndUnder has the engine's process end when it begins a prompt with this text.
	EndUnder string `json:"end_under"`
}

// DefaultEngineConfig is a small, quick engine for tests and trials.
func DefaultEngineConfig() EngineConfig {
	return EngineConfig{
		Model:       "m",
		Weights:     "w1",
		Slots:       8,
		MaxQueue:    64,
		PrefillRate: 40_000,
		DecodeMS:    2,
		CacheTokens: 64_000,
		LinkRate:    200e6,
		TokenBytes:  1_000,
		ReportLagMS: 50,
		EventLagMS:  50,
		LoadMS:      50,
	}
}

// Engine stands in for a model engine.
type Engine struct {
	*host
	cfg    EngineConfig
	cache  *cache
	link   *link
	slots  *lane
	lane   *lane // Prefill runs one prompt at a time.
	ctx    context.Context
	cancel context.CancelFunc

	running atomic.Int64
	backlog atomic.Int64 // Prompt tokens waiting or in prefill.
	load    *laggingLoad

	mu       sync.Mutex
	state    upstream.EngineState
	boot     uint64
	refused  int // Stale orders.
	runs     map[string]int
	computed int64
	reused   int64
}

// StartEngine starts an engine.
func StartEngine(addr netip.AddrPort, cfg EngineConfig) (*Engine, error) {
	h, err := newHost(addr)
	if err != nil {
		return nil, err
	}
	e := &Engine{
		host:  h,
		cfg:   cfg,
		cache: newCache(cfg.CacheTokens, time.Duration(cfg.EventLagMS)*time.Millisecond),
		slots: newLane(cfg.Slots),
		lane:  newLane(1),
		state: upstream.EngineState{Model: cfg.Model, Weights: cfg.Weights},
		boot:  uint64(time.Now().UnixNano()),
		runs:  map[string]int{},
	}
	e.ctx, e.cancel = context.WithCancel(context.Background())
	e.link = newLink(cfg.LinkRate, func() float64 { return h.faults.get().LinkFactor })
	e.load = newLaggingLoad(time.Duration(cfg.ReportLagMS)*time.Millisecond, e.report)
	h.onFault = e.applyFault
	h.router.POST(upstream.PathRun, e.run)
	h.router.GET(upstream.PathLoad, e.serveLoad)
	h.router.GET(upstream.PathCacheEvents, e.serveEvents)
	h.router.GET(upstream.PathCacheBlocks, e.serveBlocks)
	h.router.POST(upstream.PathImport, e.importBlocks)
	h.router.POST(upstream.PathExport, e.exportBlocks)
	h.router.POST(upstream.PathOrders, e.order)
	h.router.GET(upstream.PathOrders, e.serveState)
	h.router.GET("/runs", e.serveRuns)
	h.start()
	return e, nil
}

// EngineStats counts what an engine has done.
type EngineStats struct {
	Computed int64 // Prompt tokens.
	Reused   int64 // Prompt tokens.
	Moved    int64 // Bytes over its link.
	Refused  int   // Stale orders.
	State    upstream.EngineState
}

// Stats returns the engine's counts.
func (e *Engine) Stats() EngineStats {
	e.mu.Lock()
	defer e.mu.Unlock()
	return EngineStats{
		Computed: e.computed,
		Reused:   e.reused,
		Moved:    e.link.moved.Load(),
		Refused:  e.refused,
		State:    e.state,
	}
}

// Runs is how often a prompt was run.
func (e *Engine) Runs(text string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.runs[text]
}

// Evict empties the prefix cache, as if other prompts had pushed it out.
func (e *Engine) Evict() { e.cache.clear() }

// Close breaks off runs and waits.
func (e *Engine) Close() {
	e.cancel()
	e.host.Close()
}

func (e *Engine) applyFault(f Fault) {
	e.cache.skipEvents(f.SkipEvents)
	if !f.Restart {
		return
	}
	e.cache.clear()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.boot++
}

func (e *Engine) serveRuns(c *fasthttp.RequestCtx) {
	e.mu.Lock()
	defer e.mu.Unlock()
	reply(c, http.StatusOK, e.runs)
}

// report is the load as it is now.
func (e *Engine) report() upstream.LoadReport {
	e.mu.Lock()
	defer e.mu.Unlock()
	return upstream.LoadReport{
		Boot:         e.boot,
		Slots:        e.cfg.Slots,
		Running:      int(e.running.Load()),
		Queued:       e.slots.queued(),
		PrefillQueue: int(e.backlog.Load()),
		PrefillRate:  e.cfg.PrefillRate,
		DecodeMillis: e.cfg.DecodeMS,
		LinkRate:     e.cfg.LinkRate,
		LinkQueue:    e.link.queue.Load(),
		TokenBytes:   e.cfg.TokenBytes,
		Model:        e.state.Model,
		Weights:      e.state.Weights,
		Leaving:      e.faults.get().Leaving,
	}
}

func (e *Engine) serveLoad(c *fasthttp.RequestCtx) { reply(c, http.StatusOK, e.load.get()) }
