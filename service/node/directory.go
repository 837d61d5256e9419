package node

import (
	"context"
	"log/slog"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/drumpath/drumpath/pkg/control"
	"github.com/drumpath/drumpath/pkg/locks"
	"github.com/drumpath/drumpath/pkg/prompt"
	"github.com/drumpath/drumpath/service/peer"
)

const (
	// lookupTimeout bounds the delay that a look-up may add to a request.
	lookupTimeout = 100 * time.Millisecond
	// avoidDuration is how long a node that timed out is not asked again.
	avoidDuration = time.Second
	// updateQueueSize bounds the updates waiting to be sent. Further ones are
	// dropped; the next resynchronisation sends their content.
	updateQueueSize = 4096
	updateTimeout   = 2 * time.Second
)

// Directory records which upstreams hold the KV cache of which prompts. It is
// sharded over all nodes: a chain belongs to the node that owns its anchor by
// rendezvous hashing.
type Directory struct {
	self    string
	local   *prompt.Directory
	members *control.Members
	client  *peer.Client
	log     *slog.Logger

	mu             locks.Mutex
	avoidUntil     map[netip.AddrPort]time.Time
	updates        chan directoryUpdate
	wg             sync.WaitGroup
	done           chan struct{}
	droppedUpdates atomic.Int64
}

type directoryUpdate struct {
	owner control.Member
	req   peer.UpdateRequest
}

// NewDirectory returns a directory and starts sending updates to shard owners.
func NewDirectory(self string, local *prompt.Directory, m *control.Members, c *peer.Client, log *slog.Logger) *Directory {
	d := &Directory{
		self:       self,
		local:      local,
		members:    m,
		client:     c,
		log:        log,
		avoidUntil: map[netip.AddrPort]time.Time{},
		updates:    make(chan directoryUpdate, updateQueueSize),
		done:       make(chan struct{}),
	}
	d.wg.Go(d.sendUpdates)
	return d
}

// Close stops sending updates and waits for pending calls.
func (d *Directory) Close() {
	close(d.done)
	d.wg.Wait()
}

// owner returns the node that owns an anchor's shard.
func (d *Directory) owner(anchor prompt.Key) (control.Member, bool) {
	return control.Owner(d.members.Working(), string(anchor[:]))
}

// Observe looks a chain up and records the occurrence. If the shard's owner does
// not answer in time, the match is empty and the request proceeds without it.
func (d *Directory) Observe(ctx context.Context, chain prompt.Chain) prompt.Match {
	return d.query(ctx, chain.Marks, peer.MethodObserve, d.local.Observe)
}

// Lookup looks a chain up without recording an occurrence.
func (d *Directory) Lookup(ctx context.Context, marks []prompt.Mark) prompt.Match {
	return d.query(ctx, marks, peer.MethodLookup, d.local.Lookup)
}

// query calls method at the owner of a chain's shard, or localQuery if that is this
// node.
func (d *Directory) query(
	ctx context.Context,
	marks []prompt.Mark,
	method string,
	localQuery func([]prompt.Mark, time.Time) prompt.Match,
) prompt.Match {
	if len(marks) == 0 {
		return prompt.Match{}
	}
	owner, ok := d.owner(prompt.Chain{Marks: marks}.Anchor())
	if !ok || owner.Name == d.self {
		return localQuery(marks, time.Now())
	}
	if d.avoided(owner.Peer) {
		return prompt.Match{}
	}
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	answer := make(chan prompt.Match, 1)
	// A write to a frozen peer can block past the context's deadline, so it must
	// not happen on the request's goroutine.
	d.wg.Go(func() {
		defer cancel()
		var m prompt.Match
		req := peer.ObserveRequest{Marks: prompt.Pack(marks)}
		if err := d.client.Call(ctx, owner.Peer, method, req, &m); err != nil {
			d.log.Debug("directory shard not reached", "node", owner.Name, "err", err)
			return
		}
		answer <- m
	})
	select {
	case m := <-answer:
		return m
	case <-ctx.Done():
	}
	select {
	case m := <-answer:
		return m
	default:
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.avoidUntil[owner.Peer] = time.Now().Add(avoidDuration)
	return prompt.Match{}
}

func (d *Directory) avoided(addr netip.AddrPort) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	until, ok := d.avoidUntil[addr]
	if ok && time.Now().After(until) {
		delete(d.avoidUntil, addr)
		ok = false
	}
	return ok
}

// Placed records that an engine is about to cache a chain, so that requests
// that arrive before the engine's cache events find it.
func (d *Directory) Placed(chain prompt.Chain, engine string) {
	if len(chain.Marks) == 0 {
		return
	}
	keys := make([]prompt.Key, 0, len(chain.Marks))
	for _, m := range chain.Marks {
		if prompt.IsMark(m.Chunks) {
			keys = append(keys, m.Key)
		}
	}
	d.Update(chain.Anchor(), peer.UpdateRequest{Upstream: engine, Added: prompt.PackKeys(keys)})
}

// Stored records that a store holds an object of a chain.
func (d *Directory) Stored(chain prompt.Chain, store string, o prompt.Object) {
	marks := chain.Marks
	for i, m := range marks {
		if m.Chunks > o.Chunks {
			marks = marks[:i]
			break
		}
	}
	d.Update(chain.Anchor(), peer.UpdateRequest{
		Upstream: store,
		Stored:   []peer.StoredUpdate{{Object: o, Marks: prompt.Pack(marks)}},
	})
}

// Update queues an update for the owner of an anchor's shard.
func (d *Directory) Update(anchor prompt.Key, req peer.UpdateRequest) {
	if owner, ok := d.owner(anchor); ok {
		d.enqueueUpdate(owner, req)
	}
}

func (d *Directory) enqueueUpdate(owner control.Member, req peer.UpdateRequest) {
	if owner.Name == d.self {
		if err := d.Apply(req); err != nil {
			d.log.Error("own directory update failed", "err", err)
		}
		return
	}
	select {
	case d.updates <- directoryUpdate{owner: owner, req: req}:
	default:
		d.droppedUpdates.Add(1)
	}
}

// Apply applies an update about one upstream to the local shard.
func (d *Directory) Apply(req peer.UpdateRequest) (err error) {
	now := time.Now()
	added, err := prompt.UnpackKeys(req.Added)
	if err != nil {
		return err
	}
	removed, err := prompt.UnpackKeys(req.Removed)
	if err != nil {
		return err
	}
	if req.Reset {
		d.local.RemoveEngine(req.Upstream)
		d.local.RetainStored(req.Upstream, func(prompt.Object) bool { return false })
	}
	d.local.RemoveCached(req.Upstream, removed)
	if len(added) > 0 {
		d.local.AddCached(req.Upstream, added, now)
	}
	for _, key := range req.Freed {
		d.local.RemoveStored(req.Upstream, key)
	}
	for _, s := range req.Stored {
		marks, err := s.Marks.Unpack()
		if err != nil {
			return err
		}
		d.local.AddStored(req.Upstream, s.Object, marks, now)
	}
	return nil
}

func (d *Directory) sendUpdates() {
	for {
		select {
		case u := <-d.updates:
			ctx, cancel := context.WithTimeout(context.Background(), updateTimeout)
			if !d.avoided(u.owner.Peer) {
				if err := d.client.Notify(ctx, u.owner.Peer, peer.MethodUpdate, u.req); err != nil {
					d.log.Debug("directory update not sent", "node", u.owner.Name, "err", err)
				}
			}
			cancel()
		case <-d.done:
			return
		}
	}
}
