package entry

import (
	"context"
	"time"

	"github.com/drumpath/drumpath/pkg/locks"
	"github.com/drumpath/drumpath/pkg/prompt"
	"github.com/drumpath/drumpath/pkg/route"
	"github.com/drumpath/drumpath/pkg/upstream"
)

// importKey identifies an import that requests can share.
type importKey struct {
	replica string
	object  prompt.Key
	chunks  int
}

// importGroup lets requests for the same object on the same replica share one
// import.
type importGroup struct {
	mu         locks.Mutex
	inProgress map[importKey]*sharedImport
}

type sharedImport struct {
	done chan struct{}
	ok   bool
}

func newImportGroup() *importGroup { return &importGroup{inProgress: map[importKey]*sharedImport{}} }

// join returns the import in progress, or registers a new one that the caller must
// pass to end.
func (g *importGroup) join(key importKey) (shared *sharedImport, first bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if shared, ok := g.inProgress[key]; ok {
		return shared, false
	}
	shared = &sharedImport{done: make(chan struct{})}
	g.inProgress[key] = shared
	return shared, true
}

func (g *importGroup) end(key importKey, shared *sharedImport, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	shared.ok = ok
	delete(g.inProgress, key)
	close(shared.done)
}

// importKVCache has the engine import a stored KV cache and reports whether that succeeded.
// It gives up after the timeout, from which on recomputing is expected to be faster.
func (r *Run) importKVCache(engine *upstream.Engine, decision route.Decision) bool {
	key := importKey{replica: decision.Replica, object: decision.Import.Object.Key, chunks: decision.Import.Chunks}
	shared, first := r.imports.join(key)
	if !first {
		r.deps.Metrics.ImportsShared.Add(1)
		select {
		case <-shared.done:
			return shared.ok
		case <-time.After(decision.Import.Timeout):
			return false
		case <-r.ctx.Done():
			return false
		}
	}
	ok := r.importFromStore(engine, decision)
	r.imports.end(key, shared, ok)
	return ok
}

func (r *Run) importFromStore(engine *upstream.Engine, decision route.Decision) bool {
	store, ok := r.deps.Upstreams.Store(decision.Import.Store)
	if !ok {
		return false
	}
	m := r.deps.Metrics
	m.Imports.Add(1)
	start := time.Now()
	booking := r.deps.Links.Book(decision.Import.Store, decision.Replica, decision.Import.Bytes, start)
	// Other requests may share the import, so it outlives this request.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(r.ctx), decision.Import.Timeout+importGrace)
	defer cancel()
	answer, err := engine.Import(ctx, upstream.ImportOrder{
		RequestID:  r.call.RequestID,
		CacheSalt:  r.chain.Root,
		Weights:    r.weights,
		Object:     decision.Import.Object,
		Chunks:     decision.Import.Chunks,
		Store:      store.Address,
		WaitMillis: max(1, decision.Import.Timeout.Milliseconds()),
	})
	now := time.Now()
	if err == nil {
		booking.End(answer.Bytes, now)
		r.deps.Loads.ReportStore(decision.Import.Store, answer.Store)
		m.ImportedTokens.Add(int64(answer.Chunks) * prompt.ChunkTokens)
		return true
	}
	m.ImportsFailed.Add(1)
	r.log.Info("import failed, recomputing", "store", decision.Import.Store, "upstream", decision.Replica, "err", err)
	if now.Sub(start) >= decision.Import.Timeout {
		booking.GiveUp(now)
	} else {
		booking.End(0, now)
	}
	return false
}

// importGrace is added to the timeout so that the engine gives up first and answers.
const importGrace = 200 * time.Millisecond
