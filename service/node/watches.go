package node

import (
	"context"
	"log/slog"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/drumpath/drumpath/pkg/control"
	"github.com/drumpath/drumpath/pkg/locks"
	"github.com/drumpath/drumpath/pkg/prompt"
)

const (
	pollTimeout = 2 * time.Second
	// maxConcurrentPolls bounds the upstreams polled concurrently.
	maxConcurrentPolls = 16
)

// watch follows one upstream.
type watch interface {
	// poll reads and applies the upstream's changes.
	poll(ctx context.Context) error
	// membersChanged sends the entries of shards that have moved to their new owners.
	membersChanged()
}

// Watches polls the upstreams that are assigned to this node, and updates the
// directory shards with what they hold.
//
// While member lists differ, two nodes may watch the same upstream. They then only
// send the same updates twice, so no lease is needed.
type Watches struct {
	self       string
	members    *control.Members
	upstreams  *Upstreams
	directory  *Directory
	log        *slog.Logger
	dutyInputs dutyInputs

	mu      locks.Mutex // Held during a round of polls.
	engines map[string]*engineWatch
	stores  map[string]*storeWatch

	shardsMovedMu locks.Mutex
	shardsMoved   bool
}

// NewWatches returns a Watches that has no upstreams until the first Poll.
func NewWatches(self string, m *control.Members, u *Upstreams, d *Directory, log *slog.Logger) *Watches {
	w := &Watches{
		self:       self,
		members:    m,
		upstreams:  u,
		directory:  d,
		log:        log,
		dutyInputs: dutyInputs{members: m, upstreams: u},
		engines:    map[string]*engineWatch{},
		stores:     map[string]*storeWatch{},
	}
	m.Watch(w.membersChanged)
	return w
}

// membersChanged records that shards may have moved; the next Poll handles it.
func (w *Watches) membersChanged() {
	w.shardsMovedMu.Lock()
	defer w.shardsMovedMu.Unlock()
	w.shardsMoved = true
}

func (w *Watches) takeShardsMoved() bool {
	w.shardsMovedMu.Lock()
	defer w.shardsMovedMu.Unlock()
	moved := w.shardsMoved
	w.shardsMoved = false
	return moved
}

// Poll polls each upstream assigned to this node once; the timer service calls it.
func (w *Watches) Poll(ctx context.Context) {
	w.mu.Lock()
	defer w.mu.Unlock()
	moved := w.takeShardsMoved()
	w.assign()
	var g errgroup.Group
	g.SetLimit(maxConcurrentPolls)
	startPoll := func(name string, watch watch) {
		g.Go(func() error {
			if moved {
				watch.membersChanged()
			}
			w.poll(ctx, name, watch.poll)
			return nil
		})
	}
	for name, e := range w.engines {
		startPoll(name, e)
	}
	for name, s := range w.stores {
		startPoll(name, s)
	}
	_ = g.Wait() // Each poll logs its own error.
}

func (w *Watches) poll(ctx context.Context, name string, fn func(context.Context) error) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	if err := fn(ctx); err != nil && ctx.Err() == nil {
		w.log.Debug("watch failed", "upstream", name, "err", err)
	}
}

// assign starts and ends watches when the assignment of upstreams changes.
func (w *Watches) assign() {
	if !w.dutyInputs.changed() {
		return
	}
	members := w.members.Working()
	engines := map[string]*engineWatch{}
	for _, e := range w.upstreams.Engines() {
		if !isOwner(members, w.self, e.Name) {
			continue
		}
		watch, ok := w.engines[e.Name]
		if !ok || watch.engine != e.Engine {
			watch = newEngineWatch(e.Name, e.Engine, w.directory, w.log)
		}
		engines[e.Name] = watch
	}
	stores := map[string]*storeWatch{}
	for _, s := range w.upstreams.Stores() {
		if !isOwner(members, w.self, s.Name) {
			continue
		}
		watch, ok := w.stores[s.Name]
		if !ok || watch.store != s.Store {
			watch = newStoreWatch(s.Name, s.Store, w.directory, w.log)
		}
		stores[s.Name] = watch
	}
	w.engines, w.stores = engines, stores
}

// WatchStatus is the state of one watch, as shown in a dump.
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
		list = append(list, WatchStatus{Upstream: name, Kind: "engine", Seq: e.seq, Entries: len(e.blocks), Resyncs: e.resyncs})
	}
	for name, s := range w.stores {
		list = append(list, WatchStatus{Upstream: name, Kind: "store", Seq: s.seq, Entries: len(s.objects), Freed: s.freed})
	}
	return list
}

// StoredObject is an object of a store that this node watches.
type StoredObject struct {
	Store string
	prompt.Object
}

// Objects lists the objects of the stores that this node watches.
func (w *Watches) Objects() []StoredObject {
	w.mu.Lock()
	defer w.mu.Unlock()
	var list []StoredObject
	for name, s := range w.stores {
		for _, e := range s.objects {
			list = append(list, StoredObject{Store: name, Object: e.object})
		}
	}
	return list
}
