package node

import (
	"cmp"
	"context"
	"log/slog"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/drumpath/drumpath/pkg/control"
	"github.com/drumpath/drumpath/pkg/locks"
	"github.com/drumpath/drumpath/pkg/route"
	"github.com/drumpath/drumpath/pkg/upstream"
)

const (
	// maxPolledEngines is how many engines a node polls for their load. If there
	// are more, they are assigned to nodes by rendezvous hashing, so that each
	// engine is polled by the same number of nodes.
	maxPolledEngines = 32
	// loadReportBytes is the approximate size of a load report on the wire,
	// including the request and headers.
	loadReportBytes = 600
	// loadPollBytesPerSecond is a node's traffic budget for polling engines' load.
	loadPollBytesPerSecond = 1_000
	// maxCredit is how much unused budget accumulates, in bytes. It lets a node
	// that starts poll its whole subset at once.
	maxCredit = maxPolledEngines * loadReportBytes
	// storePollBytesPerSecond is a node's traffic budget for polling stores' load.
	storePollBytesPerSecond = 600
	storePollInterval       = time.Second
	loadPollInterval        = 100 * time.Millisecond
	// loadReportMaxAge is the age from which a report is stale and its engine is
	// polled.
	loadReportMaxAge = 300 * time.Millisecond
)

// LoadPoller polls engines and stores for their load, within a traffic budget.
type LoadPoller struct {
	self       string
	members    *control.Members
	upstreams  *Upstreams
	fleet      *route.Fleet
	links      *route.Links
	log        *slog.Logger
	dutyInputs dutyInputs

	mu         locks.Mutex
	polled     []engineClient
	lastRefill time.Time
	credit     float64 // Bytes.

	nextStore int // Only used by PollStores.
}

// NewLoadPoller returns a poller with full credit.
func NewLoadPoller(self string, m *control.Members, u *Upstreams, f *route.Fleet, l *route.Links, log *slog.Logger) *LoadPoller {
	return &LoadPoller{
		self:       self,
		members:    m,
		upstreams:  u,
		fleet:      f,
		links:      l,
		log:        log,
		dutyInputs: dutyInputs{members: m, upstreams: u},
		lastRefill: time.Now(),
		credit:     maxCredit,
	}
}

// Poll polls the engines of the subset whose reports are stale, oldest first, as
// many as the budget allows. Answers to requests carry reports too, so busy
// engines are hardly ever polled.
func (l *LoadPoller) Poll(ctx context.Context) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	l.credit = min(maxCredit, l.credit+now.Sub(l.lastRefill).Seconds()*loadPollBytesPerSecond)
	l.lastRefill = now
	stale := l.staleEngines(now)
	stale = stale[:min(len(stale), int(l.credit/loadReportBytes))]
	l.credit -= float64(len(stale) * loadReportBytes)
	var g errgroup.Group
	g.SetLimit(maxConcurrentPolls)
	for _, e := range stale {
		g.Go(func() error {
			l.pollEngine(ctx, e)
			return nil
		})
	}
	_ = g.Wait() // pollEngine logs its own error.
}

// PollStores polls stores for the load of their links: as many as the budget
// allows, in rotation.
func (l *LoadPoller) PollStores(ctx context.Context) {
	stores := l.upstreams.Stores()
	if len(stores) == 0 {
		return
	}
	slices.SortFunc(stores, func(a, b storeClient) int { return cmp.Compare(a.Name, b.Name) })
	const storesPerPoll = storePollBytesPerSecond / loadReportBytes
	for range min(storesPerPoll, len(stores)) {
		l.nextStore++
		st := stores[l.nextStore%len(stores)]
		ctx, cancel := context.WithTimeout(ctx, pollTimeout)
		r, err := st.Load(ctx)
		cancel()
		if err != nil {
			l.log.Debug("load report not read", "upstream", st.Name, "err", err)
			continue
		}
		l.ReportStore(st.Name, r)
	}
}

// ReportStore records the load of a store's link, from a poll or from an answer to
// a request.
func (l *LoadPoller) ReportStore(store string, r upstream.StoreLoad) {
	now := time.Now()
	l.links.Report(store, r.LinkRate, r.LinkQueue, now)
	l.links.UpdateCounters(store, r.Moved, time.Duration(r.BusyMillis)*time.Millisecond, now)
}

// staleEngines lists the engines whose last report is stale, oldest first.
func (l *LoadPoller) staleEngines(now time.Time) []engineClient {
	takenAt := map[string]time.Time{}
	var list []engineClient
	for _, e := range l.subset() {
		takenAt[e.Name] = l.fleet.ReportOf(e.Name).Taken
		if now.Sub(takenAt[e.Name]) >= loadReportMaxAge {
			list = append(list, e)
		}
	}
	slices.SortFunc(list, func(a, b engineClient) int { return takenAt[a.Name].Compare(takenAt[b.Name]) })
	return list
}

func (l *LoadPoller) pollEngine(ctx context.Context, e engineClient) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	r, err := e.Load(ctx)
	if err != nil {
		l.log.Debug("load report not read", "upstream", e.Name, "err", err)
		return
	}
	l.Report(e.Name, r)
}

// Report records an engine's load report, from a poll or from an answer to a
// request.
func (l *LoadPoller) Report(engine string, r upstream.LoadReport) {
	now := time.Now()
	l.fleet.Report(engine, loadReport(r, now))
	l.links.Report(engine, r.LinkRate, r.LinkQueue, now)
}

func loadReport(r upstream.LoadReport, now time.Time) route.Report {
	return route.Report{
		Taken:        now.Add(-time.Duration(r.AgeMillis) * time.Millisecond),
		Slots:        r.Slots,
		Running:      r.Running,
		Queued:       r.Queued,
		PrefillQueue: r.PrefillQueue,
		PrefillRate:  r.PrefillRate,
		Decode:       time.Duration(r.DecodeMillis * float64(time.Millisecond)),
		TokenBytes:   r.TokenBytes,
		Weights:      r.Weights,
		Leaving:      r.Leaving,
	}
}

// subset returns the engines that this node polls; the caller holds mu.
func (l *LoadPoller) subset() []engineClient {
	if !l.dutyInputs.changed() {
		return l.polled
	}
	l.polled = l.chooseSubset()
	names := make([]string, len(l.polled))
	for i, e := range l.polled {
		names[i] = e.Name
	}
	l.fleet.SetPolled(names)
	return l.polled
}

func (l *LoadPoller) chooseSubset() []engineClient {
	all := l.upstreams.Engines()
	if len(all) <= maxPolledEngines {
		return all
	}
	members := l.members.Working()
	pollersPerEngine := max(1, maxPolledEngines*len(members)/len(all))
	var list []engineClient
	for _, e := range all {
		for _, m := range control.Owners(members, "load/"+e.Name, pollersPerEngine) {
			if m.Name == l.self {
				list = append(list, e)
			}
		}
	}
	return list
}
