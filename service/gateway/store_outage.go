package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/drumpath/drumpath/pkg/boottime"
	"github.com/drumpath/drumpath/pkg/control"
	"github.com/drumpath/drumpath/pkg/site"
)

// A node that the platform's store turns away, or that is cut off from it, asks
// other nodes for what they have heard: the configuration, keys that are taken
// away and replicas that leave hold for it as for them.
const (
	// storeRetryInterval is for how long others are asked before the store is tried
	// again.
	storeRetryInterval = 2 * time.Second
	// storeRetryTimeout bounds a call that finds out whether the store can be reached
	// again: nothing is heard meanwhile.
	storeRetryTimeout = 400 * time.Millisecond
	// outageMaxAge is the age from which on another node's knowledge is not used:
	// its held call to the store should have ended before.
	outageMaxAge = 3500 * time.Millisecond
)

// storeOutage is how a node that does not reach the store keeps up with one table.
type storeOutage struct {
	since      time.Time // Since when the store is not reached, zero if it is.
	retryAt    time.Time // Others are asked until then.
	peersAsked int       // Others that were asked.
	logged     bool      // Whether it was logged.
}

// readsFromPeers says whether others are to be asked for a table.
func (r *sharedReader) readsFromPeers(t site.Table) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return boottime.Now().Before(r.outages[t].retryAt)
}

// storeUnreachable says whether the store was not reached lately.
func (r *sharedReader) storeUnreachable(t site.Table) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.outages[t].since.IsZero()
}

// noteStoreUnreachable notes that the store was not reached.
func (r *sharedReader) noteStoreUnreachable(t site.Table) {
	now := boottime.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	o := r.outages[t]
	if o.since.IsZero() {
		o.since = now
	}
	o.retryAt = now.Add(storeRetryInterval)
	r.outages[t] = o
}

// logServedByPeer notes that another node told what the store, which failed by err, did
// not. Where no node does, whoever follows the table logs that.
func (r *sharedReader) logServedByPeer(t site.Table, err error) {
	r.mu.Lock()
	o := r.outages[t]
	firstTime := !o.logged
	o.logged = true
	r.outages[t] = o
	r.mu.Unlock()
	if firstTime {
		r.log.Warn("store not reached, other nodes are asked", "table", tableName(t), "err", err)
	}
}

// noteStoreReached notes that the store was reached.
func (r *sharedReader) noteStoreReached(t site.Table) {
	r.mu.Lock()
	o := r.outages[t]
	delete(r.outages, t)
	r.mu.Unlock()
	if o.logged {
		r.log.Info("store reached again", "table", tableName(t), "away", boottime.Since(o.since), "asked", o.peersAsked)
	}
}

// readStoreOrPeer reads a table from the store, or from another node while the store is
// not reached.
func (r *sharedReader) readStoreOrPeer(ctx context.Context, q changesRequest, read func(context.Context) (site.Listing, error)) (l site.Listing, err error) {
	if r.readsFromPeers(q.Table) {
		if l, err = r.askPeer(ctx, q); err == nil || errors.Is(err, site.ErrHistoryGone) {
			return l, err
		}
	}
	if l, err = r.callStore(ctx, q.Table, read); err == nil || errors.Is(err, site.ErrHistoryGone) {
		r.noteStoreReached(q.Table)
		return l, err
	}
	if ctx.Err() != nil {
		return l, err
	}
	r.noteStoreUnreachable(q.Table)
	fromPeer, peerErr := r.askPeer(ctx, q)
	if peerErr != nil && !errors.Is(peerErr, site.ErrHistoryGone) {
		return l, err
	}
	r.logServedByPeer(q.Table, err)
	return fromPeer, peerErr
}

// callStore makes one call to the store, a short one if the last did not reach it.
func (r *sharedReader) callStore(ctx context.Context, t site.Table, read func(context.Context) (site.Listing, error)) (site.Listing, error) {
	if r.storeUnreachable(t) {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, storeRetryTimeout)
		defer cancel()
	}
	return read(ctx)
}

// errNoPeer says that there is no other node to ask.
var errNoPeer = errors.New("no other node is known")

// askPeer asks one of the other nodes, by turns one of the same hall and any.
func (r *sharedReader) askPeer(ctx context.Context, q changesRequest) (l site.Listing, err error) {
	r.mu.Lock()
	o := r.outages[q.Table]
	o.peersAsked++
	r.outages[q.Table] = o
	r.mu.Unlock()
	addr, ok := r.pickPeer(o.peersAsked%2 == 1)
	if !ok {
		return l, errNoPeer
	}
	q.StoreUnreachable = true
	return r.askNode(ctx, addr, q)
}

// pickPeer picks a node that is well, of this hall if there is one and near is set.
func (r *sharedReader) pickPeer(sameHall bool) (addr netip.AddrPort, ok bool) {
	var peers, hallPeers []control.Member
	for _, m := range r.members.All() {
		if m.State != control.MemberAlive || m.Name == r.self.Name {
			continue
		}
		peers = append(peers, m)
		if m.DataHall == r.self.DataHall {
			hallPeers = append(hallPeers, m)
		}
	}
	if sameHall && len(hallPeers) > 0 {
		peers = hallPeers
	}
	if len(peers) == 0 {
		return addr, false
	}
	return peers[rand.IntN(len(peers))].Peer, true
}
