package node

import (
	"context"
	"log/slog"

	"github.com/drumpath/drumpath/pkg/control"
	"github.com/drumpath/drumpath/pkg/prompt"
	"github.com/drumpath/drumpath/pkg/upstream"
)

// engineWatch follows the cache events of one engine and updates the directory
// shards. Events come late and with gaps; after a gap or a restart of the engine
// it reads the list of all cached blocks.
//
// Events identify a block by its key and its parent, but the block's shard follows
// from its chain's anchor, so the watch keeps an index from blocks to anchors.
type engineWatch struct {
	name      string
	engine    *upstream.Engine
	directory *Directory
	log       *slog.Logger

	boot           uint64
	seq            uint64
	synced         bool
	blocks         map[prompt.Key]indexedBlock
	notifiedOwners map[prompt.Key]string // By anchor: the name of the owner that was notified.
	resyncs        int                   // How often all blocks were read.
}

func newEngineWatch(name string, e *upstream.Engine, d *Directory, log *slog.Logger) *engineWatch {
	return &engineWatch{name: name, engine: e, directory: d, log: log}
}

// poll reads and applies the newest events.
func (w *engineWatch) poll(ctx context.Context) error {
	if !w.synced {
		return w.resynchronise(ctx)
	}
	answer, err := w.engine.Events(ctx, w.seq)
	if err != nil {
		return err
	}
	if answer.Boot != w.boot || (len(answer.Events) > 0 && !w.contiguous(answer.Events)) {
		w.log.Info("gap in cache events", "upstream", w.name, "after", w.seq)
		return w.resynchronise(ctx)
	}
	w.apply(answer.Events)
	return nil
}

// contiguous reports whether events continue from the last one without a gap.
func (w *engineWatch) contiguous(events []upstream.CacheEvent) bool {
	next := w.seq + 1
	for _, ev := range events {
		if ev.Seq != next {
			return false
		}
		next++
	}
	return true
}

// resynchronise rebuilds the index and the directory entries from the list of all
// blocks in the engine's cache.
func (w *engineWatch) resynchronise(ctx context.Context) error {
	all, err := w.engine.Blocks(ctx)
	if err != nil {
		return err
	}
	w.resyncs++
	w.boot, w.seq, w.synced = all.Boot, all.Seq, true
	w.blocks = make(map[prompt.Key]indexedBlock, len(all.Blocks))
	w.notifiedOwners = map[prompt.Key]string{}
	parents := make(map[prompt.Key]upstream.CacheEvent, len(all.Blocks))
	for _, b := range all.Blocks {
		parents[b.Key] = b
	}
	updates := newShardUpdates(w.name)
	updates.reset(w.directory.members.Working())
	for _, b := range all.Blocks {
		w.add(updates, b, anchorOf(b, parents))
	}
	updates.sendAll(w.directory)
	return nil
}

// anchorOf follows a block's parents to its chain's anchor.
func anchorOf(b upstream.CacheEvent, parents map[prompt.Key]upstream.CacheEvent) prompt.Key {
	for b.Position > prompt.AnchorChunks {
		parent, ok := parents[b.Parent]
		if !ok {
			break
		}
		b = parent
	}
	return b.Key
}

// apply applies contiguous events. A shard applies an update's removals before its
// additions, so for a block that is both added and removed in the batch only the
// last change is sent.
func (w *engineWatch) apply(events []upstream.CacheEvent) {
	last := make(map[prompt.Key]int, len(events))
	for i, ev := range events {
		last[ev.Key] = i
	}
	updates := newShardUpdates(w.name)
	discard := newShardUpdates(w.name)
	for i, ev := range events {
		w.seq = ev.Seq
		target := discard
		if last[ev.Key] == i {
			target = updates
		}
		if ev.Removed {
			w.remove(target, ev.Key)
			continue
		}
		anchor := ev.Key
		if parent, known := w.blocks[ev.Parent]; known && ev.Position > prompt.AnchorChunks {
			anchor = parent.anchor
		}
		w.add(target, ev, anchor)
	}
	updates.sendAll(w.directory)
}

func (w *engineWatch) add(updates *shardUpdates, b upstream.CacheEvent, anchor prompt.Key) {
	w.blocks[b.Key] = indexedBlock{anchor: anchor, position: int32(b.Position)}
	if !prompt.IsMark(b.Position) {
		return
	}
	owner, ok := updates.owner(w.directory, anchor)
	if !ok {
		return
	}
	w.notifiedOwners[anchor] = owner.Name
	req := updates.requestFor(owner)
	req.Added = append(req.Added, b.Key[:]...)
}

func (w *engineWatch) remove(updates *shardUpdates, key prompt.Key) {
	b, known := w.blocks[key]
	if !known {
		return
	}
	delete(w.blocks, key)
	if !prompt.IsMark(int(b.position)) {
		return
	}
	if owner, ok := updates.owner(w.directory, b.anchor); ok {
		req := updates.requestFor(owner)
		req.Removed = append(req.Removed, key[:]...)
	}
}

// membersChanged sends the blocks of shards that have moved to their new owners.
func (w *engineWatch) membersChanged() {
	moved := map[prompt.Key]control.Member{}
	for anchor, notified := range w.notifiedOwners {
		if owner, ok := w.directory.owner(anchor); ok && owner.Name != notified {
			moved[anchor] = owner
			w.notifiedOwners[anchor] = owner.Name
		}
	}
	if len(moved) == 0 {
		return
	}
	updates := newShardUpdates(w.name)
	for key, b := range w.blocks {
		owner, ok := moved[b.anchor]
		if !ok || !prompt.IsMark(int(b.position)) {
			continue
		}
		req := updates.requestFor(owner)
		req.Added = append(req.Added, key[:]...)
	}
	updates.sendAll(w.directory)
}
