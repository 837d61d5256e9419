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
	// detourTerm is for how long others are asked before the store is tried
	// again.
	detourTerm = 2 * time.Second
	// detourTry bounds a call that finds out whether the store can be reached
	// again: nothing is heard meanwhile.
	detourTry = 400 * time.Millisecond
	// detourAge is the age from which on another node's knowledge is not used:
	// its held call to the store should have ended before.
	detourAge = 3500 * time.Millisecond
)

// detour is how a node that does not reach the store keeps up with one table.
type detour struct {
	lost  time.Time // Since when the store is not reached, zero if it is.
	until time.Time // Others are asked until then.
	asked int       // Others that were asked.
	told  bool      // Whether it was logged.
}

// around says whether others are to be asked for a table.
func (r *readers) around(t site.Table) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return boottime.Now().Before(r.detours[t].until)
}

// missing says whether the store was not reached lately.
func (r *readers) missing(t site.Table) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.detours[t].lost.IsZero()
}

// miss notes that the store was not reached.
func (r *readers) miss(t site.Table) {
	now := boottime.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	d := r.detours[t]
	if d.lost.IsZero() {
		d.lost = now
	}
	d.until = now.Add(detourTerm)
	r.detours[t] = d
}

// helped notes that another node told what the store, which failed by err, did
// not. Where no node does, whoever follows the table logs that.
func (r *readers) helped(t site.Table, err error) {
	r.mu.Lock()
	d := r.detours[t]
	first := !d.told
	d.told = true
	r.detours[t] = d
	r.mu.Unlock()
	if first {
		r.log.Warn("store not reached, other nodes are asked", "table", tableName(t), "err", err)
	}
}

// reach notes that the store was reached.
func (r *readers) reach(t site.Table) {
	r.mu.Lock()
	d := r.detours[t]
	delete(r.detours, t)
	r.mu.Unlock()
	if d.told {
		r.log.Info("store reached again", "table", tableName(t), "away", boottime.Since(d.lost), "asked", d.asked)
	}
}

// fromStore reads a table from the store, or from another node while the store is
// not reached.
func (r *readers) fromStore(ctx context.Context, q changesRequest, read func(context.Context) (site.Listing, error)) (l site.Listing, err error) {
	if r.around(q.Table) {
		if l, err = r.askAnother(ctx, q); err == nil || errors.Is(err, site.ErrHistoryGone) {
			return l, err
		}
	}
	if l, err = r.tryStore(ctx, q.Table, read); err == nil || errors.Is(err, site.ErrHistoryGone) {
		r.reach(q.Table)
		return l, err
	}
	if ctx.Err() != nil {
		return l, err
	}
	r.miss(q.Table)
	other, e := r.askAnother(ctx, q)
	if e != nil && !errors.Is(e, site.ErrHistoryGone) {
		return l, err
	}
	r.helped(q.Table, err)
	return other, e
}

// tryStore makes one call to the store, a short one if the last did not reach it.
func (r *readers) tryStore(ctx context.Context, t site.Table, read func(context.Context) (site.Listing, error)) (site.Listing, error) {
	if r.missing(t) {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, detourTry)
		defer cancel()
	}
	return read(ctx)
}

// errAlone says that there is no other node to ask.
var errAlone = errors.New("no other node is known")

// askAnother asks one of the other nodes, by turns one of the same hall and any.
func (r *readers) askAnother(ctx context.Context, q changesRequest) (l site.Listing, err error) {
	r.mu.Lock()
	d := r.detours[q.Table]
	d.asked++
	r.detours[q.Table] = d
	r.mu.Unlock()
	addr, ok := r.another(d.asked%2 == 1)
	if !ok {
		return l, errAlone
	}
	q.Detour = true
	return r.ask(ctx, addr, q)
}

// another picks a node that is well, of this hall if there is one and near is set.
func (r *readers) another(near bool) (addr netip.AddrPort, ok bool) {
	var list, hall []control.Member
	for _, m := range r.members.All() {
		if m.State != control.MemberAlive || m.Name == r.self.Name {
			continue
		}
		list = append(list, m)
		if m.DataHall == r.self.DataHall {
			hall = append(hall, m)
		}
	}
	if near && len(hall) > 0 {
		list = hall
	}
	if len(list) == 0 {
		return addr, false
	}
	return list[rand.IntN(len(list))].Peer, true
}
