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

// Priorities on links: imports, which a client waits for, go before exports.
const (
	priorityExport = 0
	priorityImport = 1
)

// EngineConfig sets an engine's capacity, speed and delays.
type EngineConfig struct {
	Model       string  `json:"model"`
	Weights     string  `json:"weights"`
	Slots       int     `json:"slots"`
	MaxQueue    int     `json:"max_queue"`
	PrefillRate float64 `json:"prefill_rate"` // Tokens per second.
	DecodeMS    float64 `json:"decode_ms"`    // Time between tokens.
	CacheTokens int     `json:"cache_tokens"` // Size of the prefix cache.
	LinkRate    float64 `json:"link_rate"`    // Bytes per second.
	TokenBytes  int     `json:"token_bytes"`  // KV cache bytes of one token.
	ReportLagMS int64   `json:"report_lag_ms"`
	EventLagMS  int64   `json:"event_lag_ms"`
	LoadMS      int64   `json:"load_ms"`  // Time to load other weights.
	Unfenced    bool    `json:"unfenced"` // Accept stale orders.
	// ExitOnText makes the engine's process exit when it starts a prompt that
	// contains this text.
	ExitOnText string `json:"end_under"`
}

// DefaultEngineConfig returns the configuration of a small, fast engine for tests
// and measurements.
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
	*httpServer
	cfg     EngineConfig
	cache   *prefixCache
	link    *link
	slots   *semaphore
	prefill *semaphore // Prefill runs one prompt at a time.
	ctx     context.Context
	cancel  context.CancelFunc

	running        atomic.Int64
	prefillBacklog atomic.Int64 // Prompt tokens waiting or in prefill.
	load           *delayedLoad

	mu             sync.Mutex
	state          upstream.EngineState
	bootEpoch      uint64
	refusedOrders  int // Orders that were stale.
	runs           map[string]int
	computedTokens int64
	reusedTokens   int64
}

// StartEngine starts an engine.
func StartEngine(addr netip.AddrPort, cfg EngineConfig) (*Engine, error) {
	h, err := newHTTPServer(addr)
	if err != nil {
		return nil, err
	}
	e := &Engine{
		httpServer: h,
		cfg:        cfg,
		cache:      newPrefixCache(cfg.CacheTokens, time.Duration(cfg.EventLagMS)*time.Millisecond),
		slots:      newSemaphore(cfg.Slots),
		prefill:    newSemaphore(1),
		state:      upstream.EngineState{Model: cfg.Model, Weights: cfg.Weights},
		bootEpoch:  uint64(time.Now().UnixNano()),
		runs:       map[string]int{},
	}
	e.ctx, e.cancel = context.WithCancel(context.Background())
	e.link = newLink(cfg.LinkRate, func() float64 { return h.fault.get().LinkFactor })
	e.load = newDelayedLoad(time.Duration(cfg.ReportLagMS)*time.Millisecond, e.currentLoad)
	h.onFault = e.applyFault
	h.router.POST(upstream.PathRun, e.run)
	h.router.GET(upstream.PathLoad, e.serveLoad)
	h.router.GET(upstream.PathCacheEvents, e.serveEvents)
	h.router.GET(upstream.PathCacheBlocks, e.serveBlocks)
	h.router.POST(upstream.PathImport, e.importBlocks)
	h.router.POST(upstream.PathExport, e.exportBlocks)
	h.router.POST(upstream.PathOrders, e.executeOrder)
	h.router.GET(upstream.PathOrders, e.serveState)
	h.router.GET("/runs", e.serveRuns)
	h.start()
	return e, nil
}

// EngineStats counts what an engine has done.
type EngineStats struct {
	Computed int64 // Prompt tokens that went through prefill.
	Reused   int64 // Prompt tokens that were cached.
	Moved    int64 // Bytes over its link.
	Refused  int   // Orders that were stale.
	State    upstream.EngineState
}

// Stats returns the engine's counts.
func (e *Engine) Stats() EngineStats {
	e.mu.Lock()
	defer e.mu.Unlock()
	return EngineStats{
		Computed: e.computedTokens,
		Reused:   e.reusedTokens,
		Moved:    e.link.movedBytes.Load(),
		Refused:  e.refusedOrders,
		State:    e.state,
	}
}

// Runs returns how often a prompt was run.
func (e *Engine) Runs(text string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.runs[text]
}

// Evict empties the prefix cache, as if other prompts had evicted its blocks.
func (e *Engine) Evict() { e.cache.clear() }

// Close cancels runs and waits for them.
func (e *Engine) Close() {
	e.cancel()
	e.httpServer.Close()
}

func (e *Engine) applyFault(f Fault) {
	e.cache.setSkipEvents(f.SkipEvents)
	if !f.Restart {
		return
	}
	e.cache.clear()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.bootEpoch++
}

func (e *Engine) serveRuns(c *fasthttp.RequestCtx) {
	e.mu.Lock()
	defer e.mu.Unlock()
	reply(c, http.StatusOK, e.runs)
}

// currentLoad returns the load at this moment.
func (e *Engine) currentLoad() upstream.LoadReport {
	e.mu.Lock()
	defer e.mu.Unlock()
	return upstream.LoadReport{
		Boot:         e.bootEpoch,
		Slots:        e.cfg.Slots,
		Running:      int(e.running.Load()),
		Queued:       e.slots.waiterCount(),
		PrefillQueue: int(e.prefillBacklog.Load()),
		PrefillRate:  e.cfg.PrefillRate,
		DecodeMillis: e.cfg.DecodeMS,
		LinkRate:     e.cfg.LinkRate,
		LinkQueue:    e.link.queuedBytes.Load(),
		TokenBytes:   e.cfg.TokenBytes,
		Model:        e.state.Model,
		Weights:      e.state.Weights,
		Leaving:      e.fault.get().Leaving,
	}
}

func (e *Engine) serveLoad(c *fasthttp.RequestCtx) { reply(c, http.StatusOK, e.load.get()) }
