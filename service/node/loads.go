package node

import (
	"cmp"
	"context"
	"log/slog"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/drumpath/drumpath/pkg/control"
	"github.com/drumpath/drumpath/pkg/route"
	"github.com/drumpath/drumpath/pkg/upstream"
)

const (
	// loadSubset is how many engines of a model a node asks for their load. A
	// larger fleet is shared out by rendezvous hashing, so that each engine is
	// asked by about as many nodes.
	loadSubset = 32
	// loadBytes is about how long a load report is on the wire, with its
	// request and headers.
	loadBytes = 600
	// loadBudget is how many bytes a second a node spends on asking for load.
	loadBudget = 1_000
	// maxCredit is how much of it can be saved up, so that a node that starts
	// can ask its whole subset at once.
	maxCredit = loadSubset * loadBytes
	// storeBudget is the same for stores.
	storeBudget = 600
	storesEvery = time.Second
	loadFast    = 100 * time.Millisecond
	// loadFresh is how old a report must be for its engine to be asked.
	loadFresh = 300 * time.Millisecond
)

// LoadPoller asks engines for their load, as often as the budget allows.
type LoadPoller struct {
	self      string
	members   *control.Members
	upstreams *Upstreams
	fleet     *route.Fleet
	links     *route.Links
	log       *slog.Logger
	duties    duties

	mu     sync.Mutex
	chosen []engineClient
	last   time.Time
	credit float64 // Bytes.

	nextStore int // Only used by PollStores.
}

// NewLoadPoller returns a poller that has asked nobody yet.
func NewLoadPoller(self string, m *control.Members, u *Upstreams, f *route.Fleet, l *route.Links, log *slog.Logger) *LoadPoller {
	return &LoadPoller{
		self:      self,
		members:   m,
		upstreams: u,
		fleet:     f,
		links:     l,
		log:       log,
		duties:    duties{members: m, upstreams: u},
		last:      time.Now(),
		credit:    maxCredit,
	}
}

// Poll asks those of the subset that have not reported for longest, as many as
// the budget allows. Reports that come with answers count, so a busy fleet is
// hardly ever asked.
func (l *LoadPoller) Poll(ctx context.Context) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	l.credit = min(maxCredit, l.credit+now.Sub(l.last).Seconds()*loadBudget)
	l.last = now
	due := l.due(now)
	due = due[:min(len(due), int(l.credit/loadBytes))]
	l.credit -= float64(len(due) * loadBytes)
	var g errgroup.Group
	g.SetLimit(watchAtOnce)
	for _, e := range due {
		g.Go(func() error {
			l.ask(ctx, e)
			return nil
		})
	}
	_ = g.Wait() // Each asks for itself.
}

// PollStores asks stores for the load of their links: as many as the budget
// allows, in turn.
func (l *LoadPoller) PollStores(ctx context.Context) {
	stores := l.upstreams.Stores()
	if len(stores) == 0 {
		return
	}
	slices.SortFunc(stores, func(a, b storeClient) int { return cmp.Compare(a.Name, b.Name) })
	const atOnce = storeBudget / loadBytes
	for range min(atOnce, len(stores)) {
		l.nextStore++
		st := stores[l.nextStore%len(stores)]
		ctx, cancel := context.WithTimeout(ctx, watchTimeout)
		r, err := st.Load(ctx)
		cancel()
		if err != nil {
			l.log.Debug("load report not read", "upstream", st.Name, "err", err)
			continue
		}
		l.ReportStore(st.Name, r)
	}
}

// ReportStore takes in the load of a store's link, asked for or sent with an
// answer.
func (l *LoadPoller) ReportStore(store string, r upstream.StoreLoad) {
	now := time.Now()
	l.links.Report(store, r.LinkRate, r.LinkQueue, now)
	l.links.UpdateCounters(store, r.Moved, time.Duration(r.BusyMillis)*time.Millisecond, now)
}

// due lists the engines whose last report is old, oldest first.
func (l *LoadPoller) due(now time.Time) []engineClient {
	taken := map[string]time.Time{}
	var list []engineClient
	for _, e := range l.subset() {
		taken[e.Name] = l.fleet.ReportOf(e.Name).Taken
		if now.Sub(taken[e.Name]) >= loadFresh {
			list = append(list, e)
		}
	}
	slices.SortFunc(list, func(a, b engineClient) int { return taken[a.Name].Compare(taken[b.Name]) })
	return list
}

func (l *LoadPoller) ask(ctx context.Context, e engineClient) {
	ctx, cancel := context.WithTimeout(ctx, watchTimeout)
	defer cancel()
	r, err := e.Load(ctx)
	if err != nil {
		l.log.Debug("load report not read", "upstream", e.Name, "err", err)
		return
	}
	l.Report(e.Name, r)
}

// Report takes in a load report, asked for or sent with an answer.
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

// subset picks the engines that this node asks; the caller holds mu.
func (l *LoadPoller) subset() []engineClient {
	if !l.duties.stale() {
		return l.chosen
	}
	l.chosen = l.choose()
	names := make([]string, len(l.chosen))
	for i, e := range l.chosen {
		names[i] = e.Name
	}
	l.fleet.SetPolled(names)
	return l.chosen
}

func (l *LoadPoller) choose() []engineClient {
	all := l.upstreams.Engines()
	if len(all) <= loadSubset {
		return all
	}
	members := l.members.Working()
	copies := max(1, loadSubset*len(members)/len(all))
	var list []engineClient
	for _, e := range all {
		for _, m := range control.Owners(members, "load/"+e.Name, copies) {
			if m.Name == l.self {
				list = append(list, e)
			}
		}
	}
	return list
}
