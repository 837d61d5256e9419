package entry

import (
	"context"
	"sync"
	"time"

	"github.com/drumpath/drumpath/pkg/prompt"
	"github.com/drumpath/drumpath/pkg/route"
	"github.com/drumpath/drumpath/pkg/upstream"
)

// importKey names an import that requests can share.
type importKey struct {
	replica string
	object  prompt.Key
	chunks  int
}

// importGroup lets requests for the same state on the same replica share one
// import.
type importGroup struct {
	mu    sync.Mutex
	going map[importKey]*sharedImport
}

type sharedImport struct {
	done chan struct{}
	ok   bool
}

func newImportGroup() *importGroup { return &importGroup{going: map[importKey]*sharedImport{}} }

// join returns the import under way, or starts one that the caller must end.
func (g *importGroup) join(key importKey) (s *sharedImport, first bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if s, ok := g.going[key]; ok {
		return s, false
	}
	s = &sharedImport{done: make(chan struct{})}
	g.going[key] = s
	return s, true
}

func (g *importGroup) end(key importKey, s *sharedImport, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s.ok = ok
	delete(g.going, key)
	close(s.done)
}

// fetch has the engine import kept state and says whether it has it now. It is
// given up once recomputing is the better way.
func (r *Run) fetch(engine *upstream.Engine, d route.Decision) bool {
	key := importKey{replica: d.Replica, object: d.Import.Object.Key, chunks: d.Import.Chunks}
	s, first := r.imports.join(key)
	if !first {
		r.parts.Metrics.ImportsShared.Add(1)
		select {
		case <-s.done:
			return s.ok
		case <-time.After(d.Import.Timeout):
			return false
		case <-r.ctx.Done():
			return false
		}
	}
	ok := r.fetchAlone(engine, d)
	r.imports.end(key, s, ok)
	return ok
}

func (r *Run) fetchAlone(engine *upstream.Engine, d route.Decision) bool {
	store, ok := r.parts.Upstreams.Store(d.Import.Store)
	if !ok {
		return false
	}
	m := r.parts.Metrics
	m.Imports.Add(1)
	start := time.Now()
	booking := r.parts.Links.Book(d.Import.Store, d.Replica, d.Import.Bytes, start)
	// The import may serve others too, so it does not end with this caller.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(r.ctx), d.Import.Timeout+importGrace)
	defer cancel()
	answer, err := engine.Import(ctx, upstream.ImportOrder{
		RequestID:  r.call.RequestID,
		CacheSalt:  r.chain.Root,
		Weights:    r.weights,
		Object:     d.Import.Object,
		Chunks:     d.Import.Chunks,
		Store:      store.Address,
		WaitMillis: max(1, d.Import.Timeout.Milliseconds()),
	})
	now := time.Now()
	if err == nil {
		booking.End(answer.Bytes, now)
		r.parts.Loads.ReportStore(d.Import.Store, answer.Store)
		m.ImportedTokens.Add(int64(answer.Chunks) * prompt.ChunkTokens)
		return true
	}
	m.ImportsFailed.Add(1)
	r.log.Info("import failed, recomputing", "store", d.Import.Store, "upstream", d.Replica, "err", err)
	if now.Sub(start) >= d.Import.Timeout {
		booking.GiveUp(now)
	} else {
		booking.End(0, now)
	}
	return false
}

// importGrace is added to the wait for the engine's own giving up.
const importGrace = 200 * time.Millisecond
