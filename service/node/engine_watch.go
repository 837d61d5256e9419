package node

import (
	"context"
	"log/slog"

	"github.com/drumpath/drumpath/pkg/control"
	"github.com/drumpath/drumpath/pkg/prompt"
	"github.com/drumpath/drumpath/pkg/upstream"
)

// engineWatch follows the cache events of one engine and tells the directory
// shards. Events come late and with gaps; a gap or a new boot is made up by
// reading the whole cache.
//
// Events name a block by its key and its parent, not by the chain's anchor that
// says which shard it belongs to, so the watch keeps an index of the blocks.
type engineWatch struct {
	name   string
	engine *upstream.Engine
	dir    *Directory
	log    *slog.Logger

	boot   uint64
	seq    uint64
	synced bool
	blocks map[prompt.Key]indexedBlock
	owners map[prompt.Key]string // Anchor to the holder that was told.
	resync int                   // How often the whole cache was read.
}

func newEngineWatch(name string, e *upstream.Engine, d *Directory, log *slog.Logger) *engineWatch {
	return &engineWatch{name: name, engine: e, dir: d, log: log}
}

// poll reads the newest events.
func (w *engineWatch) poll(ctx context.Context) error {
	if !w.synced {
		return w.readAll(ctx)
	}
	ev, err := w.engine.Events(ctx, w.seq)
	if err != nil {
		return err
	}
	if ev.Boot != w.boot || (len(ev.Events) > 0 && !w.follows(ev.Events)) {
		w.log.Info("gap in cache events", "upstream", w.name, "after", w.seq)
		return w.readAll(ctx)
	}
	w.take(ev.Events)
	return nil
}

// follows says whether events go on without a gap.
func (w *engineWatch) follows(events []upstream.CacheEvent) bool {
	next := w.seq + 1
	for _, ev := range events {
		if ev.Seq != next {
			return false
		}
		next++
	}
	return true
}

// readAll starts over from the engine's whole cache.
func (w *engineWatch) readAll(ctx context.Context) error {
	all, err := w.engine.Blocks(ctx)
	if err != nil {
		return err
	}
	w.resync++
	w.boot, w.seq, w.synced = all.Boot, all.Seq, true
	w.blocks = make(map[prompt.Key]indexedBlock, len(all.Blocks))
	w.owners = map[prompt.Key]string{}
	parents := make(map[prompt.Key]upstream.CacheEvent, len(all.Blocks))
	for _, b := range all.Blocks {
		parents[b.Key] = b
	}
	u := newShardUpdates(w.name)
	u.reset(w.dir.members.Working())
	for _, b := range all.Blocks {
		w.add(u, b, anchorOf(b, parents))
	}
	u.send(w.dir)
	return nil
}

// anchorOf walks a block's parents back to its chain's anchor.
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

// take applies events that follow. Of a block that comes and goes within them
// only the last change is told, as a shard takes in removals before additions.
func (w *engineWatch) take(events []upstream.CacheEvent) {
	last := make(map[prompt.Key]int, len(events))
	for i, ev := range events {
		last[ev.Key] = i
	}
	u := newShardUpdates(w.name)
	discard := newShardUpdates(w.name)
	for i, ev := range events {
		w.seq = ev.Seq
		told := discard
		if last[ev.Key] == i {
			told = u
		}
		if ev.Removed {
			w.remove(told, ev.Key)
			continue
		}
		anchor := ev.Key
		if parent, known := w.blocks[ev.Parent]; known && ev.Position > prompt.AnchorChunks {
			anchor = parent.anchor
		}
		w.add(told, ev, anchor)
	}
	u.send(w.dir)
}

func (w *engineWatch) add(u *shardUpdates, b upstream.CacheEvent, anchor prompt.Key) {
	w.blocks[b.Key] = indexedBlock{anchor: anchor, position: int32(b.Position)}
	if !prompt.IsMark(b.Position) {
		return
	}
	owner, ok := u.owner(w.dir, anchor)
	if !ok {
		return
	}
	w.owners[anchor] = owner.Name
	req := u.to(owner)
	req.Added = append(req.Added, b.Key[:]...)
}

func (w *engineWatch) remove(u *shardUpdates, key prompt.Key) {
	b, known := w.blocks[key]
	if !known {
		return
	}
	delete(w.blocks, key)
	if !prompt.IsMark(int(b.position)) {
		return
	}
	if owner, ok := u.owner(w.dir, b.anchor); ok {
		req := u.to(owner)
		req.Removed = append(req.Removed, key[:]...)
	}
}

// membersChanged tells new holders of shards what they should know.
func (w *engineWatch) membersChanged() {
	moved := map[prompt.Key]control.Member{}
	for anchor, told := range w.owners {
		if owner, ok := w.dir.owner(anchor); ok && owner.Name != told {
			moved[anchor] = owner
			w.owners[anchor] = owner.Name
		}
	}
	if len(moved) == 0 {
		return
	}
	u := newShardUpdates(w.name)
	for key, b := range w.blocks {
		owner, ok := moved[b.anchor]
		if !ok || !prompt.IsMark(int(b.position)) {
			continue
		}
		req := u.to(owner)
		req.Added = append(req.Added, key[:]...)
	}
	u.send(w.dir)
}
