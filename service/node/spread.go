package node

import (
	"context"
	"log/slog"
	"net/netip"
	"sync"
	"time"

	"github.com/drumpath/drumpath/pkg/control"
	"github.com/drumpath/drumpath/service/peer"
)

const (
	// pullTimeout is within what time a peer must begin to answer.
	pullTimeout = 2 * time.Second
	// tableEvery is how often a node reads the head of the configuration log
	// for itself; changes come much sooner from peers.
	tableEvery = 15 * time.Second
)

// Spread brings newer configurations from peers, as probes tell of them, and
// now and then from the table service.
type Spread struct {
	log    *slog.Logger
	config *control.Log
	client *peer.Client

	ctx     context.Context
	cancel  context.CancelFunc
	mu      sync.Mutex
	pulling bool
	closed  bool
	wg      sync.WaitGroup
}

// NewSpread returns a spreader.
func NewSpread(c *control.Log, client *peer.Client, log *slog.Logger) *Spread {
	s := &Spread{log: log, config: c, client: client}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	return s
}

// Heard is told of a peer's version; a newer one is fetched in the background.
func (s *Spread) Heard(from netip.AddrPort, version uint64) {
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

// Pull fetches what a peer has newer.
func (s *Spread) Pull(ctx context.Context, from netip.AddrPort) error {
	var d control.Delta
	req := peer.SinceRequest{Version: s.config.State().Version}
	if err := s.client.CallWithin(ctx, pullTimeout, from, peer.MethodSince, req, &d); err != nil {
		return err
	}
	s.config.Merge(d)
	return nil
}

// Refresh reads the table service; the timer service calls it.
func (s *Spread) Refresh(ctx context.Context) {
	if err := s.config.Refresh(ctx); err != nil {
		s.log.Debug("configuration not refreshed", "err", err)
	}
}

// Close ends a pull under way and waits.
func (s *Spread) Close() {
	s.cancel()
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	s.wg.Wait()
}
