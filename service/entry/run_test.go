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

// inOrder places a run on the first engine that has not failed it.
type inOrder []string

func (p inOrder) Place(q *route.Request, _ time.Time) (d route.Decision, err error) {
	for _, name := range p {
		if !slices.Contains(q.Exclude, name) {
			return route.Decision{Replica: name}, nil
		}
	}
	return d, route.ErrNoReplica
}

// engines are an upstreams with nothing but engines.
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

// knowsNothing is a directory of kept state without entries.
type knowsNothing struct{}

func (knowsNothing) Observe(context.Context, prompt.Chain) prompt.Match { return prompt.Match{} }
func (knowsNothing) Placed(prompt.Chain, string)                        {}
func (knowsNothing) Stored(prompt.Chain, string, prompt.Object)         {}

// closedAddr is an address at which nothing listens.
func closedAddr(t *testing.T) netip.AddrPort {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	addr := ln.Addr().(*net.TCPAddr).AddrPort()
	assert.NilError(t, ln.Close())
	return addr
}

// Engines had ended, and the list still named them. A request that found their connections
// refused one after the other was itself refused, 503 no_upstream, "unreachable", though others
// served: each such try had taken one of the node's retries, and those were spent.
//
// What settled it: no engine ended beyond the third, and the refused request's lines are "upstream
// did not run it", unreachable, as often as there were retries left.
func TestTriesThatReachNobodyTakeNoRetries(t *testing.T) {
	var reached atomic.Int64
	serves := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		if q.URL.Path == upstream.PathRun {
			reached.Add(1)
		}
		w.WriteHeader(http.StatusInternalServerError)
	}))
	defer serves.Close()
	const ended = 3
	list, placed := engines{}, inOrder{}
	for i := range ended {
		name := fmt.Sprint("ended", i)
		list[name] = upstream.NewEngine(name, closedAddr(t))
		placed = append(placed, name)
	}
	list["serves"] = upstream.NewEngine("serves", netip.MustParseAddrPort(serves.Listener.Addr().String()))
	placed = append(placed, "serves", "another")
	list["another"] = list["serves"]

	retries := route.NewRetryBudget(0)
	for retries.Take() {
	}
	self := control.Member{Name: "n", Incarnation: 1}
	rng := rand.New(rand.NewPCG(1, 2))
	members := control.NewMembers(self, time.Second, nil, rng)
	r := &Run{
		call: &Call{Terms: Terms{RequestID: "r"}},
		log:  slog.New(slog.DiscardHandler),
		parts: &Dependencies{
			Directory: knowsNothing{},
			Upstreams: list,
			Policy:    placed,
			Fleet:     route.NewFleet(rng),
			Retries:   retries,
			Metrics:   &Metrics{},
			Suspects:  suspects.New(self, members, nil, nil, slog.New(slog.DiscardHandler)),
		},
	}
	r.ctx, r.cancel = context.WithCancel(t.Context())
	defer r.cancel()
	f := r.connect(0)
	assert.Equal(t, f.Code, CodeUpstream, "%v", f)
	assert.Equal(t, reached.Load(), int64(1), "what has reached an engine does take one")
}
