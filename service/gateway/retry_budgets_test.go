package gateway

import (
	"log/slog"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/drumpath/drumpath/pkg/boottime"
	"github.com/drumpath/drumpath/pkg/config"
	"github.com/drumpath/drumpath/pkg/control"
)

// takeRetries takes retries until one is denied and returns how many were granted.
func takeRetries(g *Gateway, service string) (n int) {
	for b := g.retryBudget(service); b.takeLogged(boottime.Now()); {
		n++
	}
	return n
}

// A reload must not let a node use the retries of a window once more.
func TestReloadDoesNotRenewRetryBudget(t *testing.T) {
	g := nodeWithSlack([]control.Member{{Name: "n0", DataHall: "h", Incarnation: 1}}, 0, true)
	g.log, g.retryBudgets = slog.New(slog.DiscardHandler), map[string]*retryBudget{}
	g.nodes.firstStart.Store(true)
	settings := config.GatewaySettings{Retry: config.RetrySettings{Slack: 100, Window: config.Duration(time.Hour)}}
	inForce := settings
	g.settings.Store(&inForce)
	assert.Equal(t, takeRetries(g, "app"), 70)

	settings.Stop.Grace = config.Duration(time.Second)
	g.Reload(settings)
	assert.Equal(t, takeRetries(g, "app"), 0, "another setting has changed")
	settings.Retry.Slack = 200
	g.Reload(settings)
	assert.Equal(t, takeRetries(g, "app"), 70, "the slack has doubled")
	settings.Retry.Window = config.Duration(2 * time.Hour)
	g.Reload(settings)
	assert.Equal(t, takeRetries(g, "app"), 0, "the window has changed")
}
