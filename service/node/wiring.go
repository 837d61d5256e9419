package node

import (
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"time"

	"go.uber.org/dig"

	"github.com/drumpath/drumpath/pkg/config"
	"github.com/drumpath/drumpath/pkg/control"
	"github.com/drumpath/drumpath/pkg/prompt"
	"github.com/drumpath/drumpath/pkg/route"
	"github.com/drumpath/drumpath/pkg/tablestore"
	"github.com/drumpath/drumpath/pkg/timer"
	"github.com/drumpath/drumpath/service/entry"
	"github.com/drumpath/drumpath/service/operator"
	"github.com/drumpath/drumpath/service/peer"
	"github.com/drumpath/drumpath/service/suspects"
)

// constructors returns the providers from which dig builds a Node.
func constructors(s config.Settings, log *slog.Logger, level *slog.LevelVar) []any {
	weights := route.CostWeights{
		Latency:   s.Policy.LatencyWeight,
		Recompute: s.Policy.RecomputeWeight,
		Link:      s.Policy.LinkWeight,
		Patience:  s.Policy.MaxExtraLatency.Std(),
	}
	return []any{
		func() config.Settings { return s },
		func() *slog.Logger { return log },
		func() *slog.LevelVar { return level },
		func() *timer.Service { return timer.NewService(timerWorkers) },
		func() *tablestore.Table { return tablestore.NewTable(s.Platform.Table, s.Platform.Timeout.Std()) },
		func() *tablestore.Objects { return tablestore.NewObjects(s.Platform.Object, s.Platform.Timeout.Std()) },
		func() *peer.Client { return peer.NewClient(s.Peer.Key) },
		func() *prompt.Directory { return prompt.NewDirectory(s.Limits.DirectoryKeys, time.Now()) },
		func() *route.Fleet { return route.NewFleet(newRand()) },
		func() *entry.Metrics { return new(entry.Metrics) },
		func() *route.ExportPolicy { return route.NewExportPolicy(weights) },
		func() *route.RetryBudget { return route.NewRetryBudget(s.Limits.RetryShare) },
		func(f *route.Fleet, l *route.Links) route.Policy {
			return route.NewPolicy(s.Policy.Name, f, l, weights)
		},
		func(t *tablestore.Table, o *tablestore.Objects) *control.Log {
			return control.NewLog(s.Node.Name, t, o, log)
		},
		control.NewCollector,
		func(t *tablestore.Table, c *control.Collector, m *control.Members, p *peer.Client) *control.Claims {
			return control.NewClaims(s.Node.Name, &claimTable{
				self:       s.Node.Name,
				members:    m,
				client:     p,
				local:      c,
				table:      t,
				log:        log,
				avoidUntil: map[string]time.Time{},
			}, log)
		},
		func(t *tablestore.Table, m *control.Members) *control.Leases {
			return control.NewLeases(s.Node.Name, s.Limits.LeaseTerm.Std(), t, m, log)
		},
		func(d *prompt.Directory, m *control.Members, c *peer.Client) *Directory {
			return NewDirectory(s.Node.Name, d, m, c, log)
		},
		func(m *control.Members, u *Upstreams, d *Directory) *Watches {
			return NewWatches(s.Node.Name, m, u, d, log)
		},
		func(m *control.Members, u *Upstreams, f *route.Fleet, l *route.Links) *LoadPoller {
			return NewLoadPoller(s.Node.Name, m, u, f, l, log)
		},
		func(m *control.Members, c *peer.Client) *suspects.Suspects {
			return suspects.New(m.Self(), m, nil, c, log)
		},
		route.NewLinks,
		route.NewAdmission,
		NewUpstreams,
		NewConfigSync,
		NewReconciler,
		newPlatformList,
		newPeerServer,
		newMembers,
		newProbes,
		newDependencies,
		entry.NewServer,
		newOperator,
	}
}

func newRand() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }

func newPeerServer(s config.Settings, log *slog.Logger) (*peer.Server, error) {
	secrets := map[peer.Role]string{peer.RolePeer: s.Peer.Key, peer.RoleOperator: s.Operator.Token}
	return peer.NewServer(s.Peer.Listen, secrets, log)
}

// newMembers takes the listening server because its port may be 0 in the settings,
// to be chosen when it listens.
func newMembers(s config.Settings, server *peer.Server) *control.Members {
	self := control.Member{
		Name:     s.Node.Name,
		Peer:     server.Addr(),
		Entry:    s.Entry.Listen,
		DataHall: s.Node.DataHall,
	}
	return control.NewMembers(self, s.Peer.ProbeEvery.Std(), s.Peer.Seeds, newRand())
}

func newProbes(
	s config.Settings,
	server *peer.Server,
	m *control.Members,
	c *control.Log,
	configSync *ConfigSync,
	log *slog.Logger,
) (*peer.Probes, error) {
	handle := func(from netip.AddrPort, p control.Probe) []control.Packet {
		configSync.HandleVersion(from, p.Version)
		return m.Handle(from, p, time.Now(), c.State().Version)
	}
	return peer.NewProbes(server.Addr(), s.Peer.Key, handle, log)
}

// dependenciesIn are the parameters of newDependencies, filled in by dig.
type dependenciesIn struct {
	dig.In

	Settings     config.Settings
	Log          *slog.Logger
	Config       *control.Log
	Members      *control.Members
	Claims       *control.Claims
	Directory    *Directory
	Upstreams    *Upstreams
	Fleet        *route.Fleet
	Links        *route.Links
	Policy       route.Policy
	Admission    *route.Admission
	Retries      *route.RetryBudget
	ExportPolicy *route.ExportPolicy
	Loads        *LoadPoller
	Metrics      *entry.Metrics
	Suspects     *suspects.Suspects
}

func newDependencies(in dependenciesIn) *entry.Dependencies {
	return &entry.Dependencies{
		Settings:     in.Settings,
		Log:          in.Log,
		State:        in.Config,
		Members:      in.Members,
		Claims:       in.Claims,
		Directory:    in.Directory,
		Upstreams:    in.Upstreams,
		Fleet:        in.Fleet,
		Links:        in.Links,
		Policy:       in.Policy,
		Admission:    in.Admission,
		Retries:      in.Retries,
		ExportPolicy: in.ExportPolicy,
		Loads:        in.Loads,
		Metrics:      in.Metrics,
		Suspects:     in.Suspects,
	}
}

// operatorIn are the parameters of newOperator, filled in by dig.
type operatorIn struct {
	dig.In

	Settings  config.Settings
	Config    *control.Log
	Members   *control.Members
	Directory *Directory
	Policy    route.Policy
	Fleet     *route.Fleet
	Client    *peer.Client
	Admission *route.Admission
	Links     *route.Links
	Watches   *Watches
	Leases    *control.Leases
}

func newOperator(in operatorIn) *operator.Service {
	return &operator.Service{
		Settings:  in.Settings,
		Log:       in.Config,
		Members:   in.Members,
		Directory: in.Directory,
		Policy:    in.Policy,
		Fleet:     in.Fleet,
		Peers:     peerTables{client: in.Client},
		Local: &localTables{
			log:       in.Config,
			admission: in.Admission,
			links:     in.Links,
			watches:   in.Watches,
			leases:    in.Leases,
		},
	}
}
