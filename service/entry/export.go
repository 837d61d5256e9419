package entry

import (
	"context"
	"sync"
	"time"

	"github.com/drumpath/drumpath/pkg/locks"
	"github.com/drumpath/drumpath/pkg/prompt"
	"github.com/drumpath/drumpath/pkg/route"
	"github.com/drumpath/drumpath/pkg/upstream"
)

const (
	exportWorkers = 8
	exportQueue   = 256
	exportTimeout = 30 * time.Second
	// assumedTokenBytes is used until the engine has reported a load.
	assumedTokenBytes = 1000
)

// exporter copies KV caches from engines to stores in the background.
type exporter struct {
	deps *Dependencies
	jobs chan exportJob
	wg   sync.WaitGroup

	mu         locks.Mutex
	inProgress map[prompt.Key]bool
	closed     bool
}

type exportJob struct {
	requestID string
	replica   string
	chain     prompt.Chain
	mark      prompt.Mark
}

func newExporter(deps *Dependencies) *exporter {
	e := &exporter{deps: deps, jobs: make(chan exportJob, exportQueue), inProgress: map[prompt.Key]bool{}}
	for range exportWorkers {
		e.wg.Go(e.runWorker)
	}
	return e
}

// close waits until the queued jobs are done.
func (e *exporter) close() {
	e.mu.Lock()
	e.closed = true
	close(e.jobs)
	e.mu.Unlock()
	e.wg.Wait()
}

// exportIfWorthwhile queues an export if a finished run's KV cache is worth it.
func (e *exporter) exportIfWorthwhile(r *Run) {
	if e.deps.Settings.Policy.Name != exportingPolicy {
		return
	}
	report := e.deps.Fleet.ReportOf(r.decision.Replica)
	tokenBytes := report.TokenBytes
	if tokenBytes == 0 {
		tokenBytes = assumedTokenBytes
	}
	mark, ok := e.deps.ExportPolicy.SelectMark(route.ExportInput{
		Organisation: r.call.Organisation.Name,
		Chain:        r.chain,
		Match:        r.match,
		PrefillRate:  report.PrefillRate,
		TokenBytes:   tokenBytes,
		LinkRate:     e.deps.Links.NominalRate(r.decision.Replica),
	})
	if !ok {
		return
	}
	e.enqueue(exportJob{
		requestID: r.call.RequestID,
		replica:   r.decision.Replica,
		chain:     r.chain,
		mark:      mark,
	})
}

// enqueue adds a job unless one for the same key is in progress. It drops the job if
// the queue is full; the next request with the prompt queues it again.
func (e *exporter) enqueue(j exportJob) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.closed || e.inProgress[j.mark.Key] {
		return
	}
	select {
	case e.jobs <- j:
		e.inProgress[j.mark.Key] = true
	default:
	}
}

func (e *exporter) runWorker() {
	for j := range e.jobs {
		e.export(j)
		e.mu.Lock()
		delete(e.inProgress, j.mark.Key)
		e.mu.Unlock()
	}
}

// export copies one prompt's KV cache. It books no link: exports yield to imports, so
// they don't delay them, and for the same reason their duration says little about a
// link.
func (e *exporter) export(j exportJob) {
	store, ok := e.deps.Upstreams.ExportTarget()
	if !ok {
		return
	}
	engine, ok := e.deps.Upstreams.Engine(j.replica)
	if !ok {
		return
	}
	m := e.deps.Metrics
	ctx, cancel := context.WithTimeout(context.Background(), exportTimeout)
	defer cancel()
	answer, err := engine.Export(ctx, upstream.ExportOrder{
		RequestID: j.requestID,
		Key:       j.mark.Key,
		Chunks:    j.mark.Chunks,
		Store:     store.Address,
		Marks:     prompt.Pack(marksUpTo(j.chain, j.mark.Chunks)),
	})
	if err != nil {
		m.ExportsFailed.Add(1)
		e.deps.Log.Info("export failed", "request", j.requestID, "store", store.Name, "err", err)
		return
	}
	m.Exports.Add(1)
	m.ExportedTokens.Add(int64(j.mark.Chunks) * prompt.ChunkTokens)
	e.deps.Directory.Stored(j.chain, store.Name, answer.Object)
}

// marksUpTo returns the marks of a chain's first chunks.
func marksUpTo(c prompt.Chain, chunks int) []prompt.Mark {
	for i, m := range c.Marks {
		if m.Chunks > chunks {
			return c.Marks[:i]
		}
	}
	return c.Marks
}
