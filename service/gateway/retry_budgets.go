package gateway

import (
	"context"
	"log/slog"
	"time"

	"github.com/drumpath/drumpath/pkg/boottime"
	"github.com/drumpath/drumpath/pkg/config"
	"github.com/drumpath/drumpath/pkg/locks"
	"github.com/drumpath/drumpath/pkg/route"
)

// retryBudget is this node's part of the retry budget of one service.
type retryBudget struct {
	*route.RetryShare
	service string
	log     *slog.Logger

	mu       locks.Mutex
	loggedAt time.Time // When a denied retry was last logged.
}

// retryDenialLogInterval is how often a denied retry is logged for each service.
const retryDenialLogInterval = 2 * time.Second

// takeLogged calls Take and logs a denied retry.
func (b *retryBudget) takeLogged(now time.Time) bool {
	if b.Take(now) {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.loggedAt.IsZero() || now.Sub(b.loggedAt) >= retryDenialLogInterval {
		b.loggedAt = now
		s := b.Status(now)
		b.log.Info("retry budget used up", "service", b.service, "requests", s.Requests, "retries", s.Retries,
			"allowed", s.Allowed, "granted", s.Granted, "denied", s.Denied)
	}
	return false
}

// retryBudget returns the retry budget of a service.
func (g *Gateway) retryBudget(service string) *retryBudget {
	g.retryBudgetsMu.Lock()
	defer g.retryBudgetsMu.Unlock()
	b, ok := g.retryBudgets[service]
	if !ok {
		b = &retryBudget{
			RetryShare: route.NewRetryShare(g.conf().Retry.Share, g.conf().Retry.Window.Std()),
			service:    service,
			log:        g.log,
		}
		b.SetSlack(g.retrySlack())
		switch {
		case !g.retryWindowSince.IsZero():
			b.SetRestarted(g.retryWindowSince)
		case !g.nodes.firstStart.Load():
			b.SetRestarted(g.startedAt)
		}
		g.retryBudgets[service] = b
	}
	return b
}

// reloadRetryBudgets puts changed settings in force. What was counted stays; it can't be kept
// when the window changes, so that is like a restart.
func (g *Gateway) reloadRetryBudgets(old, s config.RetrySettings) {
	slack := g.retrySlack()
	g.retryBudgetsMu.Lock()
	defer g.retryBudgetsMu.Unlock()
	if s.Window != old.Window {
		g.retryWindowSince = boottime.Now()
		clear(g.retryBudgets)
		return
	}
	for _, b := range g.retryBudgets {
		b.SetRatio(s.Share)
		b.SetSlack(slack)
	}
}

// retrySlack returns this node's part of the retry slack. All members ever known count,
// also dead ones: otherwise nodes that are partitioned, or that consider each other dead,
// would each take the whole slack.
func (g *Gateway) retrySlack() float64 {
	return g.conf().Retry.Slack / float64(g.nodes.coldShares.nodeCount())
}

func (g *Gateway) updateRetrySlack(context.Context) {
	share := g.retrySlack()
	g.retryBudgetsMu.Lock()
	defer g.retryBudgetsMu.Unlock()
	for _, b := range g.retryBudgets {
		b.SetSlack(share)
	}
}

// retryStatus returns the state of the retry budgets by service.
func (g *Gateway) retryStatus(now time.Time) map[string]route.RetryStatus {
	g.retryBudgetsMu.Lock()
	defer g.retryBudgetsMu.Unlock()
	status := make(map[string]route.RetryStatus, len(g.retryBudgets))
	for service, b := range g.retryBudgets {
		status[service] = b.Status(now)
	}
	return status
}
