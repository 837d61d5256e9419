package node

import (
	"context"
	"log/slog"
	"net/netip"
	"sync"
	"time"

	"github.com/drumpath/drumpath/pkg/config"
	"github.com/drumpath/drumpath/pkg/control"
	"github.com/drumpath/drumpath/pkg/platform"
	"github.com/drumpath/drumpath/pkg/route"
)

const vmsEvery = 2 * time.Second

// PlatformList follows the platform's list of VMs: who is leaving, and which
// nodes there are that nobody has told of.
type PlatformList struct {
	client  *platform.VMs // Nil if the settings name none.
	members *control.Members
	config  *control.Log
	fleet   *route.Fleet
	log     *slog.Logger

	mu   sync.Mutex
	self bool // This VM is leaving by the list.
}

func newPlatformList(
	s config.Settings,
	m *control.Members,
	c *control.Log,
	f *route.Fleet,
	log *slog.Logger,
) *PlatformList {
	p := &PlatformList{members: m, config: c, fleet: f, log: log}
	if s.Platform.VMs.IsValid() {
		p.client = platform.NewVMs(s.Platform.VMs, s.Platform.Timeout.Std())
	}
	return p
}

// poll reads the list once.
func (p *PlatformList) poll(ctx context.Context) {
	if p.client == nil {
		return
	}
	list, err := p.client.List(ctx)
	if err != nil {
		p.log.Debug("no list of VMs", "err", err)
		return
	}
	leaving := map[netip.AddrPort]bool{}
	self := p.members.Self()
	for _, vm := range list {
		if vm.Leaving {
			leaving[vm.Address] = true
		}
		if vm.Peer.IsValid() {
			p.members.AddSeed(vm.Peer)
		}
		if vm.Leaving && vm.Peer == self.Peer {
			p.mu.Lock()
			p.self = true
			p.mu.Unlock()
		}
	}
	var names []string
	for name, u := range p.config.State().Upstreams {
		if leaving[u.Address] {
			names = append(names, name)
		}
	}
	p.fleet.SetLeaving(names)
}

// SelfLeaving says whether the list has this VM as leaving.
func (p *PlatformList) SelfLeaving() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.self
}

func (p *PlatformList) close() {
	if p.client != nil {
		p.client.Close()
	}
}
