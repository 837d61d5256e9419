package entry

import (
	"context"
	"sync"
	"time"

	"github.com/drumpath/drumpath/pkg/prompt"
	"github.com/drumpath/drumpath/pkg/route"
	"github.com/drumpath/drumpath/pkg/upstream"
)

const (
	exportWorkers = 8
	exportQueue   = 256
	exportTimeout = 30 * time.Second
	// assumedTokenBytes and assumedLinkRate are used before an engine has
	// reported.
	assumedTokenBytes = 1000
	assumedLinkRate   = 100e6
)

// exporter copies kept state to stores in the background.
type exporter struct {
	parts *Dependencies
	jobs  chan exportJob
	wg    sync.WaitGroup

	mu     sync.Mutex
	going  map[prompt.Key]bool
	closed bool
}

type exportJob struct {
	requestID string
	replica   string
	chain     prompt.Chain
	mark      prompt.Mark
}

func newExporter(p *Dependencies) *exporter {
	e := &exporter{parts: p, jobs: make(chan exportJob, exportQueue), going: map[prompt.Key]bool{}}
	for range exportWorkers {
		e.wg.Go(e.work)
	}
	return e
}

// close finishes what is queued and waits.
func (e *exporter) close() {
	e.mu.Lock()
	e.closed = true
	close(e.jobs)
	e.mu.Unlock()
	e.wg.Wait()
}

// consider decides whether a finished run's prompt is worth exporting.
func (e *exporter) consider(r *Run) {
	if e.parts.Settings.Policy.Name != policyExports {
		return
	}
	report := e.parts.Fleet.ReportOf(r.decision.Replica)
	tokenBytes := report.TokenBytes
	if tokenBytes == 0 {
		tokenBytes = assumedTokenBytes
	}
	mark, ok := e.parts.ExportPolicy.SelectMark(route.ExportInput{
		Organisation: r.call.Organisation.Name,
		Chain:        r.chain,
		Match:        r.match,
		PrefillRate:  report.PrefillRate,
		TokenBytes:   tokenBytes,
		LinkRate:     assumedLinkRate,
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

// enqueue adds a job unless one for the same state is under way; a full queue
// drops it, as the prompt will come again.
func (e *exporter) enqueue(j exportJob) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.closed || e.going[j.mark.Key] {
		return
	}
	select {
	case e.jobs <- j:
		e.going[j.mark.Key] = true
	default:
	}
}

func (e *exporter) work() {
	for j := range e.jobs {
		e.export(j)
		e.mu.Lock()
		delete(e.going, j.mark.Key)
		e.mu.Unlock()
	}
}

// export copies one prompt's state. Links are not booked for it: exports give
// way to imports, so they don't delay them, and their own time says little of a
// link.
func (e *exporter) export(j exportJob) {
	store, ok := e.parts.Upstreams.ExportTarget()
	if !ok {
		return
	}
	engine, ok := e.parts.Upstreams.Engine(j.replica)
	if !ok {
		return
	}
	m := e.parts.Metrics
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
		e.parts.Log.Info("export failed", "request", j.requestID, "store", store.Name, "err", err)
		return
	}
	m.Exports.Add(1)
	m.ExportedTokens.Add(int64(j.mark.Chunks) * prompt.ChunkTokens)
	e.parts.Directory.Stored(j.chain, store.Name, answer.Object)
}

// marksUpTo is the marks of a chain's prefix.
func marksUpTo(c prompt.Chain, chunks int) []prompt.Mark {
	for i, m := range c.Marks {
		if m.Chunks > chunks {
			return c.Marks[:i]
		}
	}
	return c.Marks
}
