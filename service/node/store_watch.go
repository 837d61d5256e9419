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
	// Eviction starts when a store is filled above evictionStartShare of its
	// capacity, and frees objects down to evictionStopShare.
	evictionStartShare = 0.9
	evictionStopShare  = 0.8
	// evictionSampleSize is how many objects are compared to pick one to free, so
	// that the cost of an eviction does not grow with the store.
	evictionSampleSize = 8
	// unknownPriority is the eviction priority of an object without known
	// occurrences, the same as of one whose next use is due right now.
	unknownPriority = 1
	// assumedReturnGap is the gap between uses assumed for a prompt that was used
	// only once.
	assumedReturnGap = 5 * time.Minute
)

// storeWatch follows the objects of one store, updates the directory shards, and
// evicts the least valuable objects when the store fills up.
type storeWatch struct {
	name      string
	store     *upstream.Store
	directory *Directory
	log       *slog.Logger

	epoch   uint64
	seq     uint64
	objects map[prompt.Key]storedEntry
	freed   int
}

type storedEntry struct {
	object        prompt.Object
	marks         []prompt.Mark
	packed        prompt.PackedMarks
	notifiedOwner string // The shard owner that was notified.
}

// anchor is the shard key of the object's chain.
func (e storedEntry) anchor() prompt.Key { return prompt.Chain{Marks: e.marks}.Anchor() }

func newStoreWatch(name string, s *upstream.Store, d *Directory, log *slog.Logger) *storeWatch {
	return &storeWatch{name: name, store: s, directory: d, log: log, objects: map[prompt.Key]storedEntry{}}
}

// poll reads the changes since the last poll and evicts if the store is nearly full.
func (w *storeWatch) poll(ctx context.Context) error {
	list, err := w.store.List(ctx, w.epoch, w.seq)
	if err != nil {
		return err
	}
	if list.Epoch != w.epoch && w.epoch != 0 {
		w.log.Info("store has restarted", "upstream", w.name, "epoch", list.Epoch)
	}
	w.epoch, w.seq = list.Epoch, list.Seq
	updates := newShardUpdates(w.name)
	if list.Full {
		updates.reset(w.directory.members.Working())
		w.objects = map[prompt.Key]storedEntry{}
	}
	for _, c := range lastChanges(list.Changes) {
		w.applyChange(updates, c)
	}
	updates.sendAll(w.directory)
	if float64(list.Used) > evictionStartShare*float64(list.Capacity) {
		w.evict(ctx, list.Used-int64(evictionStopShare*float64(list.Capacity)))
	}
	return nil
}

// lastChanges keeps only the last change of each key, because a shard applies an
// update's freed keys before its stored objects.
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

func (w *storeWatch) applyChange(updates *shardUpdates, c upstream.StoreChange) {
	old, known := w.objects[c.Object.Key]
	if c.Freed {
		if known {
			delete(w.objects, c.Object.Key)
			w.addFreed(updates, old)
		}
		return
	}
	marks, err := c.Marks.Unpack()
	if err != nil || len(marks) == 0 {
		w.log.Warn("object without usable marks", "upstream", w.name, "key", c.Object.Key, "err", err)
		return
	}
	w.addStored(updates, storedEntry{object: c.Object, marks: marks, packed: c.Marks})
}

func (w *storeWatch) addStored(updates *shardUpdates, e storedEntry) {
	if owner, ok := w.directory.owner(e.anchor()); ok {
		e.notifiedOwner = owner.Name
		req := updates.requestFor(owner)
		req.Stored = append(req.Stored, peer.StoredUpdate{Object: e.object, Marks: e.packed})
	}
	w.objects[e.object.Key] = e
}

func (w *storeWatch) addFreed(updates *shardUpdates, e storedEntry) {
	if owner, ok := w.directory.owner(e.anchor()); ok {
		req := updates.requestFor(owner)
		req.Freed = append(req.Freed, e.object.Key)
	}
}

// membersChanged sends the objects of shards that have moved to their new owners.
func (w *storeWatch) membersChanged() {
	updates := newShardUpdates(w.name)
	for _, e := range w.objects {
		if owner, ok := w.directory.owner(e.anchor()); ok && owner.Name != e.notifiedOwner {
			w.addStored(updates, e)
		}
	}
	updates.sendAll(w.directory)
}

// evict frees objects until the given number of bytes is reclaimed. Each time it
// frees the object with the highest eviction priority among a few random ones.
func (w *storeWatch) evict(ctx context.Context, bytes int64) {
	for bytes > 0 && len(w.objects) > 0 && ctx.Err() == nil {
		victim := w.evictionCandidate(ctx)
		o := victim.object
		if err := w.store.Free(ctx, upstream.FreeObject{Key: o.Key, Generation: o.Generation, Epoch: o.Epoch}); err != nil {
			w.log.Warn("object not freed", "upstream", w.name, "err", err)
			return
		}
		updates := newShardUpdates(w.name)
		delete(w.objects, o.Key)
		w.addFreed(updates, victim)
		updates.sendAll(w.directory)
		bytes -= o.Bytes
		w.freed++
	}
}

func (w *storeWatch) evictionCandidate(ctx context.Context) storedEntry {
	var victim storedEntry
	highest := -1.0
	n := 0
	for _, e := range w.objects {
		if priority := w.evictionPriority(ctx, e); priority > highest {
			victim, highest = e, priority
		}
		if n++; n == evictionSampleSize {
			break
		}
	}
	return victim
}

// evictionPriority returns how overdue an object's next use is, judged by the
// occurrences of its longest prefix that was ever requested.
func (w *storeWatch) evictionPriority(ctx context.Context, e storedEntry) float64 {
	m := w.directory.Lookup(ctx, e.marks)
	if len(m.Occurrences) == 0 {
		return unknownPriority
	}
	return route.EvictionPriority(m.Occurrences[0], assumedReturnGap)
}

// isOwner reports whether watching an upstream is assigned to this node.
func isOwner(members []control.Member, self, upstream string) bool {
	owner, ok := control.Owner(members, "watch/"+upstream)
	return ok && owner.Name == self
}
