package node

import (
	"context"
	"log/slog"
	"maps"
	"net/netip"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/drumpath/drumpath/pkg/config"
	"github.com/drumpath/drumpath/pkg/control"
	"github.com/drumpath/drumpath/pkg/locks"
	"github.com/drumpath/drumpath/pkg/route"
	"github.com/drumpath/drumpath/pkg/tablestore"
	"github.com/drumpath/drumpath/service/peer"
)

const (
	vmListInterval = 2 * time.Second
	// listReaders is how many nodes read the list; they announce it to the others.
	listReaders = 3
	// announceInterval is how often an unchanged list is announced again, for
	// nodes that missed it.
	announceInterval           = 5 * time.Minute
	announceTimeout            = 2 * time.Second
	maxConcurrentAnnouncements = 16
)

// PlatformList follows the platform's list of VMs. From it a node learns which VMs
// are leaving, and the addresses of nodes that no member has reported yet.
//
// The list has every VM, so only a few nodes, chosen by rendezvous hashing, read
// it. They announce just the leaving VMs to the others, when these change.
type PlatformList struct {
	name    string
	client  *tablestore.VMs // Nil if the settings have no VM service.
	members *control.Members
	config  *control.Log
	fleet   *route.Fleet
	peers   *peer.Client
	log     *slog.Logger

	mu          locks.Mutex
	leaving     map[netip.AddrPort]bool // By address of the VM, and by peer address if it runs a node.
	announcedAt time.Time
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

// poll reads the list if this node is one of its readers.
func (p *PlatformList) poll(ctx context.Context) {
	readers := control.Owners(p.members.Working(), "platform-list", listReaders)
	isReader := slices.ContainsFunc(readers, func(m control.Member) bool { return m.Name == p.name })
	// If no member is working, not even this node, there are no readers and it reads the list.
	if p.client == nil || (len(readers) > 0 && !isReader) {
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
	if p.setLeaving(leaving) || p.announceDue() {
		p.announce(ctx, leaving)
	}
}

// setLeaving records which VMs are leaving and reports whether that has changed.
func (p *PlatformList) setLeaving(leaving []netip.AddrPort) (changed bool) {
	set := make(map[netip.AddrPort]bool, len(leaving))
	for _, addr := range leaving {
		set[addr] = true
	}
	p.mu.Lock()
	changed = !maps.Equal(set, p.leaving)
	p.leaving = set
	p.mu.Unlock()
	var names []string
	for name, u := range p.config.State().Upstreams {
		if set[u.Address] {
			names = append(names, name)
		}
	}
	p.fleet.SetLeaving(names)
	return changed
}

// announceDue reports whether an unchanged list should be announced again.
func (p *PlatformList) announceDue() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Since(p.announcedAt) >= announceInterval
}

// announce notifies every other node of the VMs that are leaving.
func (p *PlatformList) announce(ctx context.Context, leaving []netip.AddrPort) {
	p.mu.Lock()
	p.announcedAt = time.Now()
	p.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	var g errgroup.Group
	g.SetLimit(maxConcurrentAnnouncements)
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
	_ = g.Wait() // Each call logs its own error; the list is announced again later.
}

// leavingAddrs returns the addresses of VMs that are leaving.
func (p *PlatformList) leavingAddrs() []netip.AddrPort {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Collect(maps.Keys(p.leaving))
}

// SelfLeaving reports whether this node's own VM is leaving.
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
