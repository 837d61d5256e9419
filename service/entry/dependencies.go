package entry

import (
	"context"
	"log/slog"

	"github.com/drumpath/drumpath/pkg/config"
	"github.com/drumpath/drumpath/pkg/control"
	"github.com/drumpath/drumpath/pkg/prompt"
	"github.com/drumpath/drumpath/pkg/route"
	"github.com/drumpath/drumpath/pkg/upstream"
	"github.com/drumpath/drumpath/service/suspects"
)

// directory is the part of the directory of KV caches that this package uses.
type directory interface {
	Observe(ctx context.Context, chain prompt.Chain) prompt.Match
	Placed(chain prompt.Chain, engine string)
	Stored(chain prompt.Chain, store string, o prompt.Object)
}

// upstreams is the part of the upstreams' clients that this package uses.
type upstreams interface {
	Engine(name string) (*upstream.Engine, bool)
	Store(name string) (config.Upstream, bool)
	ServiceAt(path string, pick func(n int) int) (*upstream.Service, bool)
	ExportTarget() (config.Upstream, bool)
}

// configuration is the part of the configuration log that this package uses.
type configuration interface {
	State() *config.State
}

// loads receives the load reports that come with answers.
type loads interface {
	Report(engine string, r upstream.LoadReport)
	ReportStore(store string, r upstream.StoreLoad)
}

// Dependencies are the components that a Server uses.
type Dependencies struct {
	Settings     config.Settings
	Log          *slog.Logger
	State        configuration
	Members      *control.Members
	Claims       *control.Claims
	Directory    directory
	Upstreams    upstreams
	Fleet        *route.Fleet
	Links        *route.Links
	Policy       route.Policy
	Admission    *route.Admission
	Retries      *route.RetryBudget
	ExportPolicy *route.ExportPolicy
	Loads        loads
	Metrics      *Metrics
	Suspects     *suspects.Suspects
}
