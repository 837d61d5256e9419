package node

import (
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"runtime"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/drumpath/drumpath/pkg/config"
	"github.com/drumpath/drumpath/pkg/control"
	"github.com/drumpath/drumpath/pkg/prompt"
	"github.com/drumpath/drumpath/pkg/route"
	"github.com/drumpath/drumpath/service/peer"
)

// memoryInUse returns the bytes of heap and stacks in use.
func memoryInUse() float64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc + m.StackInuse)
}

// BenchmarkUpstreams measures a node's memory per configured engine, and the time
// to apply a configuration.
func BenchmarkUpstreams(b *testing.B) {
	for _, n := range []int{20, 690, 6900} {
		b.Run(fmt.Sprint("engines=", n), func(b *testing.B) {
			s := config.NewState()
			for i := range n {
				name := fmt.Sprint("e", i)
				addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 80)
				s.Upstreams[name] = config.Upstream{Name: name, Kind: config.UpstreamEngine, Model: "m", Address: addr}
			}
			before := memoryInUse()
			u := NewUpstreams(route.NewLinks())
			f := route.NewFleet(rand.New(rand.NewPCG(1, 1)))
			node := &Node{Upstreams: u, Fleet: f}
			node.applyConfig(s)
			perEngine := (memoryInUse() - before) / float64(n)
			for b.Loop() {
				node.applyConfig(s)
			}
			b.ReportMetric(perEngine, "B/engine")
		})
	}
}

// BenchmarkEngineWatch measures the time per cache event and the memory per watched
// block, for small and large numbers of nodes.
func BenchmarkEngineWatch(b *testing.B) {
	for _, nodes := range []int{8, 900} {
		b.Run(fmt.Sprint("nodes=", nodes), func(b *testing.B) {
			d := NewDirectory("vm-0", prompt.NewDirectory(100_000, time.Now()), newTestMembers(nodes), peer.NewClient("k"), slog.New(slog.DiscardHandler))
			defer d.Close()
			w := newEngineWatch("e", nil, d, slog.New(slog.DiscardHandler))
			w.blocks = map[prompt.Key]indexedBlock{}
			w.notifiedOwners = map[prompt.Key]string{}
			events := chainEvents(prompt.Key{1}, strings.Repeat("x", 400*prompt.ChunkBytes), false)
			before := memoryInUse()
			const chains = 50
			for i := range chains {
				w.apply(chainEvents(prompt.Key{2, byte(i)}, strings.Repeat("x", 400*prompt.ChunkBytes), false))
			}
			perBlock := (memoryInUse() - before) / chains / 400
			for b.Loop() {
				w.apply(events)
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*len(events)), "ns/event")
			b.ReportMetric(perBlock, "B/block")
		})
	}
}

func newTestMembers(nodes int) *control.Members {
	m := control.NewMembers(control.Member{Name: "vm-0", Incarnation: 1}, time.Second, nil, rand.New(rand.NewPCG(1, 1)))
	var list []control.Member
	for i := 1; i < nodes; i++ {
		// Nobody listens on this port, so updates to other nodes fail at once.
		addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), 1)
		list = append(list, control.Member{Name: fmt.Sprint("vm-", i), Peer: addr, Incarnation: 1})
	}
	m.Merge(list, time.Now())
	return m
}

// BenchmarkPeerConnection measures the memory per connection between nodes, both
// ends together, and the time of a look-up over it.
func BenchmarkPeerConnection(b *testing.B) {
	secrets := map[peer.Role]string{peer.RolePeer: "k"}
	server, err := peer.NewServer(netip.MustParseAddrPort("127.0.0.1:0"), secrets, slog.New(slog.DiscardHandler))
	assert.NilError(b, err)
	n := &Node{Shard: prompt.NewDirectory(10_000, time.Now())}
	server.Handle(peer.RolePeer, peer.MethodObserve, peer.Handle(n.observe))
	server.Start()
	defer server.Close()
	req := peer.ObserveRequest{Marks: prompt.Pack(prompt.NewChain(prompt.Scope{}, strings.Repeat("x", 64_000)).Marks)}
	const conns = 200
	var clients []*peer.Client
	before := memoryInUse()
	for range conns {
		c := peer.NewClient("k")
		defer c.Close()
		var m prompt.Match
		assert.NilError(b, c.Call(b.Context(), server.Addr(), peer.MethodObserve, req, &m))
		clients = append(clients, c)
	}
	perConnection := (memoryInUse() - before) / conns
	for b.Loop() {
		var m prompt.Match
		assert.NilError(b, clients[0].Call(b.Context(), server.Addr(), peer.MethodObserve, req, &m))
	}
	b.ReportMetric(perConnection, "B/connection")
}

// BenchmarkReconcileRound measures a round of the reconciler when all engines serve
// the configured weights.
func BenchmarkReconcileRound(b *testing.B) {
	for _, n := range []int{20, 690, 6900} {
		b.Run(fmt.Sprint("engines=", n), func(b *testing.B) {
			s := config.NewState()
			s.Models["m"] = config.Model{Name: "m", Weights: "w"}
			f := route.NewFleet(rand.New(rand.NewPCG(1, 1)))
			var replicas []route.Replica
			for i := range n {
				name := fmt.Sprint("e", i)
				s.Upstreams[name] = config.Upstream{Name: name, Kind: config.UpstreamEngine, Model: "m"}
				replicas = append(replicas, route.Replica{Name: name, Model: "m"})
			}
			f.Configure(replicas, time.Now())
			for _, r := range replicas {
				f.Report(r.Name, route.Report{Taken: time.Now().Add(time.Hour), Weights: "w"})
			}
			leases := control.NewLeases("vm-0", time.Hour, nil, nil, slog.New(slog.DiscardHandler))
			r := &Reconciler{fleet: f, leases: leases, readWeights: map[string]string{}}
			for b.Loop() {
				if len(r.enginesToCheck(s)) > 0 {
					b.Fatal("an engine differs")
				}
			}
		})
	}
}
