package node

import (
	"context"
	"log/slog"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/drumpath/drumpath/pkg/control"
	"github.com/drumpath/drumpath/pkg/prompt"
	"github.com/drumpath/drumpath/service/peer"
)

const (
	// lookTimeout bounds what a look-up may add to a request.
	lookTimeout = 100 * time.Millisecond
	// avoidTerm is how long a shard that timed out is not asked.
	avoidTerm = time.Second
	// updateQueue bounds updates waiting to be sent; the oldest knowledge is
	// lost beyond it and comes back with the next resynchronisation.
	updateQueue   = 4096
	updateTimeout = 2 * time.Second
)

// Directory is the directory of kept state over all nodes. A chain's shard is
// held by the node that its anchor falls to.
type Directory struct {
	self    string
	local   *prompt.Directory
	members *control.Members
	client  *peer.Client
	log     *slog.Logger

	mu      sync.Mutex
	avoid   map[netip.AddrPort]time.Time
	updates chan directoryUpdate
	wg      sync.WaitGroup
	done    chan struct{}
	dropped atomic.Int64
}

type directoryUpdate struct {
	owner control.Member
	req   peer.UpdateRequest
}

// NewDirectory starts sending updates to the shards' holders.
func NewDirectory(self string, local *prompt.Directory, m *control.Members, c *peer.Client, log *slog.Logger) *Directory {
	d := &Directory{
		self:    self,
		local:   local,
		members: m,
		client:  c,
		log:     log,
		avoid:   map[netip.AddrPort]time.Time{},
		updates: make(chan directoryUpdate, updateQueue),
		done:    make(chan struct{}),
	}
	d.wg.Go(d.send)
	return d
}

// Close stops sending and waits.
func (d *Directory) Close() {
	close(d.done)
	d.wg.Wait()
}

// owner returns the node that holds an anchor's shard.
func (d *Directory) owner(anchor prompt.Key) (control.Member, bool) {
	return control.Owner(d.members.Working(), string(anchor[:]))
}

// Observe looks a chain up and records the sighting. A shard that does not
// answer in time costs its knowledge, not the request.
func (d *Directory) Observe(ctx context.Context, chain prompt.Chain) prompt.Match {
	return d.ask(ctx, chain.Marks, peer.MethodObserve, d.local.Observe)
}

// Lookup looks a chain up and records nothing.
func (d *Directory) Lookup(ctx context.Context, marks []prompt.Mark) prompt.Match {
	return d.ask(ctx, marks, peer.MethodLookup, d.local.Lookup)
}

// ask asks the holder of a chain's shard, by method, or this node's own.
func (d *Directory) ask(
	ctx context.Context,
	marks []prompt.Mark,
	method string,
	local func([]prompt.Mark, time.Time) prompt.Match,
) prompt.Match {
	if len(marks) == 0 {
		return prompt.Match{}
	}
	owner, ok := d.owner(prompt.Chain{Marks: marks}.Anchor())
	if !ok || owner.Name == d.self {
		return local(marks, time.Now())
	}
	if d.avoided(owner.Peer) {
		return prompt.Match{}
	}
	ctx, cancel := context.WithTimeout(ctx, lookTimeout)
	answer := make(chan prompt.Match, 1)
	// Writing to a frozen peer can block past the context, so it may not
	// happen on the request's goroutine.
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
	d.avoid[owner.Peer] = time.Now().Add(avoidTerm)
	return prompt.Match{}
}

func (d *Directory) avoided(addr netip.AddrPort) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	until, ok := d.avoid[addr]
	if ok && time.Now().After(until) {
		delete(d.avoid, addr)
		ok = false
	}
	return ok
}

// Placed records that an engine is about to hold a chain, so that others who
// come before its cache events find it.
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

// Update sends news to the holder of an anchor's shard, soon.
func (d *Directory) Update(anchor prompt.Key, req peer.UpdateRequest) {
	if owner, ok := d.owner(anchor); ok {
		d.updateAt(owner, req)
	}
}

func (d *Directory) updateAt(owner control.Member, req peer.UpdateRequest) {
	if owner.Name == d.self {
		if err := d.Apply(req); err != nil {
			d.log.Error("own directory update failed", "err", err)
		}
		return
	}
	select {
	case d.updates <- directoryUpdate{owner: owner, req: req}:
	default:
		d.dropped.Add(1)
	}
}

// Apply takes news of one upstream into the local shard.
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
	d.local.RemoveHot(req.Upstream, removed)
	if len(added) > 0 {
		d.local.AddHot(req.Upstream, added, now)
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

func (d *Directory) send() {
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
