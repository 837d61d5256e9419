package standin

import (
	"net/netip"
	"time"

	"github.com/drumpath/drumpath/pkg/config"
)

// Secrets shared by the nodes of a test site.
const (
	PeerKey       = "trial-peer-key"
	OperatorToken = "trial-operator-token"
)

// NodeSettings returns settings for a test node at this site.
func (s *Site) NodeSettings(name string, seeds ...netip.AddrPort) (cfg config.Settings, err error) {
	cfg = config.Defaults()
	cfg.Node = config.NodeSettings{Name: name, DataHall: "north"}
	cfg.Peer.Key = PeerKey
	cfg.Peer.Seeds = seeds
	cfg.Operator.Token = OperatorToken
	cfg.Platform.Table = s.Table.Addr()
	cfg.Platform.Object = s.Objects.Addr()
	cfg.Platform.VMs = s.VMs.Addr()
	cfg.Peer.ProbeEvery = config.Duration(testProbeInterval)
	cfg.Entry.MaxAge = config.Duration(testMaxAge)
	cfg.Log.Level = "warn"
	if cfg.Entry.Listen, err = FreeAddr(); err != nil {
		return cfg, err
	}
	cfg.Peer.Listen, err = FreeAddr()
	return cfg, err
}

const (
	testProbeInterval = 200 * time.Millisecond
	testMaxAge        = 500 * time.Millisecond
)
