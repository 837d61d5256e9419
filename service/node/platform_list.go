package node

import (
	"context"
	"log/slog"
	"maps"
	"net/netip"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/drumpath/drumpath/pkg/config"
	"github.com/drumpath/drumpath/pkg/control"
	"github.com/drumpath/drumpath/pkg/route"
	"github.com/drumpath/drumpath/pkg/tablestore"
	"github.com/drumpath/drumpath/service/peer"
)

const (
	vmsEvery = 2 * time.Second
	// listReaders is how many nodes read the list; they tell the others.
	listReaders = 3
	// tellEvery is how often they tell an unchanged list again, for nodes that
	// missed it.
	tellEvery   = 5 * time.Minute
	tellTimeout = 2 * time.Second
	tellAtOnce  = 16
)

// PlatformList follows the platform's list of VMs: who is leaving, and which
// nodes there are that nobody has told of.
//
// The list has every VM, so a few nodes read it, by rendezvous hashing, and tell
// the others only which VMs are leaving, when that changes.
type PlatformList struct {
	name    string
	client  *tablestore.VMs // Nil if the settings name none.
	members *control.Members
	config  *control.Log
	fleet   *route.Fleet
	peers   *peer.Client
	log     *slog.Logger

	mu      sync.Mutex
	leaving map[netip.AddrPort]bool // By address of callers, upstreams or peers.
	told    time.Time
}

func newPlatformList(
	s config.Settings,
	m *control.Members,
	c *control.Log,
	f *route.Fleet,
	p *peer.Client,
	log *slog.Logger,
) *PlatformList {
	l := &PlatformList{name: s.Node.Name, members: m, config: c, fleet: f, peers: p, log: log}
	if s.Platform.VMs.IsValid() {
		l.client = tablestore.NewVMs(s.Platform.VMs, s.Platform.Timeout.Std())
	}
	return l
}

// poll reads the list if that is this node's duty.
func (p *PlatformList) poll(ctx context.Context) {
	readers := control.Owners(p.members.Working(), "platform-list", listReaders)
	duty := slices.ContainsFunc(readers, func(m control.Member) bool { return m.Name == p.name })
	// A node that no longer works among the others reads for itself.
	if p.client == nil || (len(readers) > 0 && !duty) {
		return
	}
	list, err := p.client.List(ctx)
	if err != nil {
		p.log.Debug("list of VMs not read", "err", err)
		return
	}
	var leaving []netip.AddrPort
	for _, vm := range list {
		if vm.Peer.IsValid() {
			p.members.AddSeed(vm.Peer)
		}
		if vm.Leaving {
			leaving = append(leaving, vm.Address)
		}
		if vm.Leaving && vm.Peer.IsValid() {
			leaving = append(leaving, vm.Peer)
		}
	}
	if p.take(leaving) || p.due() {
		p.tell(ctx, leaving)
	}
}

// take notes which VMs are leaving and says whether that is news.
func (p *PlatformList) take(leaving []netip.AddrPort) (news bool) {
	set := make(map[netip.AddrPort]bool, len(leaving))
	for _, addr := range leaving {
		set[addr] = true
	}
	p.mu.Lock()
	news = !maps.Equal(set, p.leaving)
	p.leaving = set
	p.mu.Unlock()
	var names []string
	for name, u := range p.config.State().Upstreams {
		if set[u.Address] {
			names = append(names, name)
		}
	}
	p.fleet.SetLeaving(names)
	return news
}

// due says whether the others should be told again, and notes that they are.
func (p *PlatformList) due() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Since(p.told) >= tellEvery
}

// tell tells every other node which VMs are leaving.
func (p *PlatformList) tell(ctx context.Context, leaving []netip.AddrPort) {
	p.mu.Lock()
	p.told = time.Now()
	p.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, tellTimeout)
	defer cancel()
	var g errgroup.Group
	g.SetLimit(tellAtOnce)
	for _, m := range p.members.All() {
		if m.Name == p.name || m.State == control.MemberDead {
			continue
		}
		g.Go(func() error {
			if err := p.peers.Notify(ctx, m.Peer, peer.MethodLeaving, peer.LeavingNews{Leaving: leaving}); err != nil {
				p.log.Debug("list of leaving VMs not sent", "node", m.Name, "err", err)
			}
			return nil
		})
	}
	_ = g.Wait() // Each logs its own; they are told again.
}

// list returns the addresses that are known to be leaving.
func (p *PlatformList) list() []netip.AddrPort {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Collect(maps.Keys(p.leaving))
}

// SelfLeaving says whether the list has this VM as leaving.
func (p *PlatformList) SelfLeaving() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.leaving[p.members.Self().Peer]
}

func (p *PlatformList) close() {
	if p.client != nil {
		p.client.Close()
	}
}
