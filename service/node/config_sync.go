package node

import (
	"context"
	"log/slog"
	"net/netip"
	"sync"
	"time"

	"github.com/drumpath/drumpath/pkg/control"
	"github.com/drumpath/drumpath/pkg/locks"
	"github.com/drumpath/drumpath/service/peer"
)

const (
	// pullTimeout bounds the time until a peer begins to answer.
	pullTimeout = 2 * time.Second
	// tableRefreshInterval is how often a node reads the head of the configuration
	// log from the table service; changes usually arrive much sooner from peers.
	tableRefreshInterval = 15 * time.Second
)

// ConfigSync fetches newer configurations from peers whose probes announce them,
// and periodically from the table service.
type ConfigSync struct {
	log    *slog.Logger
	config *control.Log
	client *peer.Client

	ctx     context.Context
	cancel  context.CancelFunc
	mu      locks.Mutex
	pulling bool
	closed  bool
	wg      sync.WaitGroup
}

// NewConfigSync returns a ConfigSync that updates c.
func NewConfigSync(c *control.Log, client *peer.Client, log *slog.Logger) *ConfigSync {
	s := &ConfigSync{log: log, config: c, client: client}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	return s
}

// HandleVersion handles a peer's announcement of its configuration version: if it is
// newer than this node's, it is fetched in the background.
func (s *ConfigSync) HandleVersion(from netip.AddrPort, version uint64) {
	if version <= s.config.State().Version {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.pulling || s.closed {
		return
	}
	s.pulling = true
	s.wg.Go(func() {
		if err := s.Pull(s.ctx, from); err != nil {
			s.log.Debug("configuration not pulled", "from", from, "err", err)
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		s.pulling = false
	})
}

// Pull fetches the configuration changes that a peer has and this node lacks.
func (s *ConfigSync) Pull(ctx context.Context, from netip.AddrPort) error {
	var d control.Delta
	req := peer.SinceRequest{Version: s.config.State().Version}
	if err := s.client.CallWithin(ctx, pullTimeout, from, peer.MethodSince, req, &d); err != nil {
		return err
	}
	s.config.Merge(d)
	return nil
}

// Refresh reads new changes from the table service; the timer service calls it.
func (s *ConfigSync) Refresh(ctx context.Context) {
	if err := s.config.Refresh(ctx); err != nil {
		s.log.Debug("configuration not refreshed", "err", err)
	}
}

// Close cancels a pull in progress and waits for it.
func (s *ConfigSync) Close() {
	s.cancel()
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	s.wg.Wait()
}
