package entry

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/drumpath/drumpath/pkg/config"
	"github.com/drumpath/drumpath/pkg/control"
	"github.com/drumpath/drumpath/pkg/prompt"
	"github.com/drumpath/drumpath/pkg/route"
	"github.com/drumpath/drumpath/pkg/upstream"
	"github.com/drumpath/drumpath/service/suspects"
)

// inOrder is a policy that chooses the first engine that is not excluded.
type inOrder []string

func (p inOrder) Place(q *route.Request, _ time.Time) (d route.Decision, err error) {
	for _, name := range p {
		if !slices.Contains(q.Exclude, name) {
			return route.Decision{Replica: name}, nil
		}
	}
	return d, route.ErrNoReplica
}

// engines implements upstreams with engines only.
type engines map[string]*upstream.Engine

func (e engines) Engine(name string) (*upstream.Engine, bool) {
	engine, ok := e[name]
	return engine, ok
}
func (engines) Store(string) (config.Upstream, bool)  { return config.Upstream{}, false }
func (engines) ExportTarget() (config.Upstream, bool) { return config.Upstream{}, false }
func (engines) ServiceAt(string, func(n int) int) (*upstream.Service, bool) {
	return nil, false
}

// emptyDirectory is a directory of KV caches without entries.
type emptyDirectory struct{}

func (emptyDirectory) Observe(context.Context, prompt.Chain) prompt.Match { return prompt.Match{} }
func (emptyDirectory) Placed(prompt.Chain, string)                        {}
func (emptyDirectory) Stored(prompt.Chain, string, prompt.Object)         {}

// unusedAddr returns an address at which nothing listens.
func unusedAddr(t *testing.T) netip.AddrPort {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	addr := ln.Addr().(*net.TCPAddr).AddrPort()
	assert.NilError(t, ln.Close())
	return addr
}

// Guards against unreachable engines spending the retry budget. A request that tried several
// engines that had ended but were still listed was refused with 503 no_upstream although other
// engines were serving, because each refused connection had taken one of the node's retries.
func TestUnreachableEnginesTakeNoRetries(t *testing.T) {
	var reached atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		if q.URL.Path == upstream.PathRun {
			reached.Add(1)
		}
		w.WriteHeader(http.StatusInternalServerError)
	}))
	defer server.Close()
	const endedEngines = 3
	upstreams, placement := engines{}, inOrder{}
	for i := range endedEngines {
		name := fmt.Sprint("ended", i)
		upstreams[name] = upstream.NewEngine(name, unusedAddr(t))
		placement = append(placement, name)
	}
	upstreams["serves"] = upstream.NewEngine("serves", netip.MustParseAddrPort(server.Listener.Addr().String()))
	placement = append(placement, "serves", "another")
	upstreams["another"] = upstreams["serves"]

	retries := route.NewRetryBudget(0)
	for retries.Take() {
	}
	self := control.Member{Name: "n", Incarnation: 1}
	rng := rand.New(rand.NewPCG(1, 2))
	members := control.NewMembers(self, time.Second, nil, rng)
	r := &Run{
		call: &Call{RequestMeta: RequestMeta{RequestID: "r"}},
		log:  slog.New(slog.DiscardHandler),
		deps: &Dependencies{
			Directory: emptyDirectory{},
			Upstreams: upstreams,
			Policy:    placement,
			Fleet:     route.NewFleet(rng),
			Retries:   retries,
			Metrics:   &Metrics{},
			Suspects:  suspects.New(self, members, nil, nil, slog.New(slog.DiscardHandler)),
		},
	}
	r.ctx, r.cancel = context.WithCancel(t.Context())
	defer r.cancel()
	f := r.connect(0)
	assert.Equal(t, f.Code, CodeUpstreamFailed, "%v", f)
	assert.Equal(t, reached.Load(), int64(1), "a request that reached an engine takes a retry")
}
