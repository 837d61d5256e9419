package node

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/drumpath/drumpath/pkg/control"
	"github.com/drumpath/drumpath/pkg/prompt"
)

const (
	watchTimeout = 2 * time.Second
	// watchAtOnce bounds the upstreams polled at once.
	watchAtOnce = 16
)

// watch follows one upstream.
type watch interface {
	// poll reads what is new.
	poll(ctx context.Context) error
	// membersChanged tells shards' new holders what they should know.
	membersChanged()
}

// Watches follows the upstreams that are this node's duty, and tells the
// directory shards what they keep.
//
// Two nodes that both hold a duty for a while only send the same news twice, so
// no lease is needed.
type Watches struct {
	self      string
	members   *control.Members
	upstreams *Upstreams
	dir       *Directory
	log       *slog.Logger
	duties    duties

	mu      sync.Mutex // Held over a round of polls.
	engines map[string]*engineWatch
	stores  map[string]*storeWatch

	movedMu sync.Mutex
	moved   bool
}

// NewWatches returns watches that poll nothing yet.
func NewWatches(self string, m *control.Members, u *Upstreams, d *Directory, log *slog.Logger) *Watches {
	w := &Watches{
		self:      self,
		members:   m,
		upstreams: u,
		dir:       d,
		log:       log,
		duties:    duties{members: m, upstreams: u},
		engines:   map[string]*engineWatch{},
		stores:    map[string]*storeWatch{},
	}
	m.Watch(w.membersChanged)
	return w
}

// membersChanged notes that shards may have moved; the next poll acts on it.
func (w *Watches) membersChanged() {
	w.movedMu.Lock()
	defer w.movedMu.Unlock()
	w.moved = true
}

func (w *Watches) takeMoved() bool {
	w.movedMu.Lock()
	defer w.movedMu.Unlock()
	moved := w.moved
	w.moved = false
	return moved
}

// Poll follows each upstream of this node's duty once; the timer service calls
// it.
func (w *Watches) Poll(ctx context.Context) {
	w.mu.Lock()
	defer w.mu.Unlock()
	moved := w.takeMoved()
	w.assign()
	var g errgroup.Group
	g.SetLimit(watchAtOnce)
	follow := func(name string, watch watch) {
		g.Go(func() error {
			if moved {
				watch.membersChanged()
			}
			w.poll(ctx, name, watch.poll)
			return nil
		})
	}
	for name, e := range w.engines {
		follow(name, e)
	}
	for name, s := range w.stores {
		follow(name, s)
	}
	_ = g.Wait() // Each poll logs its own.
}

func (w *Watches) poll(ctx context.Context, name string, fn func(context.Context) error) {
	ctx, cancel := context.WithTimeout(ctx, watchTimeout)
	defer cancel()
	if err := fn(ctx); err != nil && ctx.Err() == nil {
		w.log.Debug("watch failed", "upstream", name, "err", err)
	}
}

// assign starts and ends watches as duties come and go.
func (w *Watches) assign() {
	if !w.duties.stale() {
		return
	}
	members := w.members.Working()
	engines := map[string]*engineWatch{}
	for _, e := range w.upstreams.Engines() {
		if !ownerOf(members, w.self, e.Name) {
			continue
		}
		watch, ok := w.engines[e.Name]
		if !ok || watch.engine != e.Engine {
			watch = newEngineWatch(e.Name, e.Engine, w.dir, w.log)
		}
		engines[e.Name] = watch
	}
	stores := map[string]*storeWatch{}
	for _, s := range w.upstreams.Stores() {
		if !ownerOf(members, w.self, s.Name) {
			continue
		}
		watch, ok := w.stores[s.Name]
		if !ok || watch.store != s.Store {
			watch = newStoreWatch(s.Name, s.Store, w.dir, w.log)
		}
		stores[s.Name] = watch
	}
	w.engines, w.stores = engines, stores
}

// WatchStatus is what a dump shows of one watch.
type WatchStatus struct {
	Upstream string `json:"upstream"`
	Kind     string `json:"kind"`
	Seq      uint64 `json:"seq"`
	Entries  int    `json:"held"` // Blocks or objects.
	Resyncs  int    `json:"resyncs"`
	Freed    int    `json:"freed"`
}

// Status lists this node's watches.
func (w *Watches) Status() []WatchStatus {
	w.mu.Lock()
	defer w.mu.Unlock()
	var list []WatchStatus
	for name, e := range w.engines {
		list = append(list, WatchStatus{Upstream: name, Kind: "engine", Seq: e.seq, Entries: len(e.blocks), Resyncs: e.resync})
	}
	for name, s := range w.stores {
		list = append(list, WatchStatus{Upstream: name, Kind: "store", Seq: s.seq, Entries: len(s.objects), Freed: s.freed})
	}
	return list
}

// KeptObject is an object of a store that this node watches.
type KeptObject struct {
	Store string
	prompt.Object
}

// Objects lists what the stores of this node's duty keep.
func (w *Watches) Objects() []KeptObject {
	w.mu.Lock()
	defer w.mu.Unlock()
	var list []KeptObject
	for name, s := range w.stores {
		for _, e := range s.objects {
			list = append(list, KeptObject{Store: name, Object: e.object})
		}
	}
	return list
}
