package node

import (
	"context"
	"log/slog"
	"time"

	"github.com/drumpath/drumpath/pkg/control"
	"github.com/drumpath/drumpath/pkg/prompt"
	"github.com/drumpath/drumpath/pkg/route"
	"github.com/drumpath/drumpath/pkg/upstream"
	"github.com/drumpath/drumpath/service/peer"
)

const (
	// storeHigh and storeLow are the shares of a store's capacity between which
	// eviction works: it starts above the first and ends below the second.
	storeHigh = 0.9
	storeLow  = 0.8
	// evictSample is how many objects are compared to find one to free; the
	// cost of an eviction does not grow with the store.
	evictSample = 8
	// unknownOverdue ranks an object whose shard knows nothing of it like one
	// that is due just now.
	unknownOverdue = 1
	// unseenGap is the return gap assumed of a prompt that never returned.
	unseenGap = 5 * time.Minute
)

// storeWatch follows what one store keeps, tells the directory shards, and
// frees what is least worth keeping when the store fills up.
type storeWatch struct {
	name  string
	store *upstream.Store
	dir   *Directory
	log   *slog.Logger

	epoch   uint64
	seq     uint64
	objects map[prompt.Key]storedEntry
	freed   int
}

type storedEntry struct {
	object prompt.Object
	marks  []prompt.Mark
	packed prompt.PackedMarks
	told   string // The shard's holder that was told.
}

// anchor is the shard key of the object's chain.
func (e storedEntry) anchor() prompt.Key { return prompt.Chain{Marks: e.marks}.Anchor() }

func newStoreWatch(name string, s *upstream.Store, d *Directory, log *slog.Logger) *storeWatch {
	return &storeWatch{name: name, store: s, dir: d, log: log, objects: map[prompt.Key]storedEntry{}}
}

// poll reads what has changed and evicts if the store is nearly full.
func (w *storeWatch) poll(ctx context.Context) error {
	l, err := w.store.List(ctx, w.epoch, w.seq)
	if err != nil {
		return err
	}
	if l.Epoch != w.epoch && w.epoch != 0 {
		w.log.Info("store has restarted", "upstream", w.name, "epoch", l.Epoch)
	}
	w.epoch, w.seq = l.Epoch, l.Seq
	u := newShardUpdates(w.name)
	if l.Full {
		u.reset(w.dir.members.Working())
		w.objects = map[prompt.Key]storedEntry{}
	}
	for _, c := range lastChanges(l.Changes) {
		w.take(u, c)
	}
	u.send(w.dir)
	if float64(l.Used) > storeHigh*float64(l.Capacity) {
		w.evict(ctx, l.Used-int64(storeLow*float64(l.Capacity)))
	}
	return nil
}

// lastChanges keeps only the last change of each object's key, as a shard takes
// in what was freed before what was stored.
func lastChanges(changes []upstream.StoreChange) []upstream.StoreChange {
	last := map[prompt.Key]int{}
	for i, c := range changes {
		last[c.Object.Key] = i
	}
	var list []upstream.StoreChange
	for i, c := range changes {
		if last[c.Object.Key] == i {
			list = append(list, c)
		}
	}
	return list
}

func (w *storeWatch) take(u *shardUpdates, c upstream.StoreChange) {
	old, known := w.objects[c.Object.Key]
	if c.Freed {
		if known {
			delete(w.objects, c.Object.Key)
			w.tellFreed(u, old)
		}
		return
	}
	marks, err := c.Marks.Unpack()
	if err != nil || len(marks) == 0 {
		w.log.Warn("object without usable marks", "upstream", w.name, "key", c.Object.Key, "err", err)
		return
	}
	w.tellStored(u, storedEntry{object: c.Object, marks: marks, packed: c.Marks})
}

func (w *storeWatch) tellStored(u *shardUpdates, e storedEntry) {
	if owner, ok := w.dir.owner(e.anchor()); ok {
		e.told = owner.Name
		req := u.to(owner)
		req.Stored = append(req.Stored, peer.StoredUpdate{Object: e.object, Marks: e.packed})
	}
	w.objects[e.object.Key] = e
}

func (w *storeWatch) tellFreed(u *shardUpdates, e storedEntry) {
	if owner, ok := w.dir.owner(e.anchor()); ok {
		req := u.to(owner)
		req.Freed = append(req.Freed, e.object.Key)
	}
}

// membersChanged tells new holders of shards what they should know.
func (w *storeWatch) membersChanged() {
	u := newShardUpdates(w.name)
	for _, e := range w.objects {
		if owner, ok := w.dir.owner(e.anchor()); ok && owner.Name != e.told {
			w.tellStored(u, e)
		}
	}
	u.send(w.dir)
}

// evict frees objects until so many bytes are won. Of a few random objects the
// one whose next return is the most overdue goes.
func (w *storeWatch) evict(ctx context.Context, bytes int64) {
	for bytes > 0 && len(w.objects) > 0 && ctx.Err() == nil {
		victim := w.leastWorth(ctx)
		o := victim.object
		if err := w.store.Free(ctx, upstream.FreeObject{Key: o.Key, Generation: o.Generation, Epoch: o.Epoch}); err != nil {
			w.log.Warn("object not freed", "upstream", w.name, "err", err)
			return
		}
		u := newShardUpdates(w.name)
		delete(w.objects, o.Key)
		w.tellFreed(u, victim)
		u.send(w.dir)
		bytes -= o.Bytes
		w.freed++
	}
}

func (w *storeWatch) leastWorth(ctx context.Context) storedEntry {
	var victim storedEntry
	worst := -1.0
	n := 0
	for _, e := range w.objects {
		if overdue := w.overdue(ctx, e); overdue > worst {
			victim, worst = e, overdue
		}
		if n++; n == evictSample {
			break
		}
	}
	return victim
}

// overdue is how overdue an object's next return is, by its longest prefix that
// was ever asked for.
func (w *storeWatch) overdue(ctx context.Context, e storedEntry) float64 {
	m := w.dir.Lookup(ctx, e.marks)
	if len(m.Occurrences) == 0 {
		return unknownOverdue
	}
	return route.EvictionPriority(m.Occurrences[0], unseenGap)
}

// ownerOf says whether this node has the duty to watch an upstream.
func ownerOf(members []control.Member, self, upstream string) bool {
	owner, ok := control.Owner(members, "watch/"+upstream)
	return ok && owner.Name == self
}
