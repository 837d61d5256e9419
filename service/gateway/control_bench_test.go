package gateway

import (
	"encoding/json"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/drumpath/drumpath/pkg/control"
	"github.com/drumpath/drumpath/pkg/history"
	"github.com/drumpath/drumpath/pkg/route"
	"github.com/drumpath/drumpath/pkg/site"
	"github.com/drumpath/drumpath/service/peer"
)

// fleetSizes are numbers of nodes and engines, in five data halls.
var fleetSizes = []struct{ nodes, engines int }{{18, 15}, {91, 60}, {295, 256}, {900, 2300}}

const fleetHalls = 5

// newFleetNode returns a node's state of a fleet, without sending to the other nodes.
func newFleetNode(b *testing.B, nodeCount, engines int) (*nodes, *engineCacheFollower) {
	log := slog.New(slog.DiscardHandler)
	self := control.Member{Name: "front-0", DataHall: "hall-0", State: control.MemberAlive, Link: 20}
	cacheIndex := route.NewCacheIndex()
	siteState := NewSiteState(nil, self.DataHall, time.Second, cacheIndex, log)
	engine := &site.Engine{PlannedFetch: true, MaxWatches: 4, TokenBytes: 18_000, LinkRate: 1e10, Capacity: 40_000}
	siteState.snapshot.Store(site.NewSnapshot(1, nil, map[string]*site.Service{"llm": {Name: "llm", Engine: engine}}, site.Limits{}))
	for i := range engines {
		id := engineID(i)
		siteState.upstreams[id] = &upstreamEntry{Upstream: site.Upstream{
			ID: id, Service: "llm", DataHall: fmt.Sprint("hall-", i%fleetHalls), Slots: 24, Weights: map[string]int64{"m": 1},
		}}
	}
	siteState.updateAllPools(time.Now())
	m := control.NewMembers(self, 300*time.Millisecond, nil, rand.New(rand.NewPCG(1, 2)))
	var list []control.Member
	for i := 1; i < nodeCount; i++ {
		list = append(list, control.Member{
			Name: fmt.Sprint("front-", i), DataHall: fmt.Sprint("hall-", i%fleetHalls), Incarnation: 1, Link: 20,
			Peer: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 66, byte(i >> 8), byte(i)}), 9),
		})
	}
	m.Merge(list, time.Now())
	probes, err := peer.NewProbes(netip.MustParseAddrPort("127.0.0.1:0"), "key", nil, log)
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(probes.Close)
	probes.Start()
	n := &nodes{self: self, eras: &history.Eras{}, members: m, siteState: siteState, cacheIndex: cacheIndex, log: log, loads: newLoadState(), loadsDue: make(chan struct{}, 1), probes: probes}
	client := peer.NewClient("key")
	b.Cleanup(client.Close)
	return n, newEngineCacheFollower(nil, siteState, cacheIndex, m, client, self, new(replicaClock), log)
}

func engineID(i int) string { return fmt.Sprintf("i-%08x", uint32(i)*2654435761) }

// newHallSumNote returns a note with a hall's loads at all engines.
func newHallSumNote(b *testing.B, hall string, seq uint64, engines int) json.RawMessage {
	note := loadNote{From: "front-x" + hall, Hall: hall, Incarnation: 1, Seq: seq}
	var loads []route.ReplicaLoad
	for i := range engines {
		load := route.PeerLoad{Requests: 1 + i%3, Memory: 9000 + i, Tokens: route.BandTokens{i % 2 * 1500, i % 5 * 1700}}
		loads = append(loads, route.ReplicaLoad{Key: route.HashName(engineID(i)), Load: load})
	}
	var links []route.StoreTally
	for i := range 58 {
		tally := route.Tally{Bytes: int64(i) * 1e9, Late: int64(i), Early: 100 * int64(i)}
		links = append(links, route.StoreTally{Key: route.HashName(fmt.Sprint("spec-cache-", i)), Tally: tally})
	}
	note.Loads, note.Links = packLoads(loads), packTallies(links)
	text, err := json.Marshal(note)
	if err != nil {
		b.Fatal(err)
	}
	return text
}

// BenchmarkHandleHallLoads measures receiving one sum of another hall. With 295 nodes some
// 22 arrive a second.
func BenchmarkHandleHallLoads(b *testing.B) {
	for _, size := range fleetSizes {
		b.Run(fmt.Sprintf("%dnodes", size.nodes), func(b *testing.B) {
			n, _ := newFleetNode(b, size.nodes, size.engines)
			var notes []json.RawMessage
			for seq := range 400 {
				notes = append(notes, newHallSumNote(b, fmt.Sprint("hall-", 1+seq%4), uint64(seq+1), min(size.engines, maxSumReplicas)))
			}
			b.SetBytes(int64(len(notes[0])))
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				if i%len(notes) == 0 {
					clear(n.loads.byHall)
				}
				n.handleHallLoads(notes[i%len(notes)])
			}
		})
	}
}

// BenchmarkSendLoads measures sending a node's own loads, which a node of 295 does up to
// 5.6 times a second.
func BenchmarkSendLoads(b *testing.B) {
	for _, size := range fleetSizes {
		b.Run(fmt.Sprintf("%dnodes", size.nodes), func(b *testing.B) {
			n, _ := newFleetNode(b, size.nodes, size.engines)
			for h := range fleetHalls {
				n.handleHallLoads(newHallSumNote(b, fmt.Sprint("hall-", h), 1, min(size.engines, maxSumReplicas)))
			}
			b.ReportAllocs()
			for b.Loop() {
				peers := n.hallPeers()
				n.sendLoads(n.loadRecipients(peers)[:0])
				n.refreshPeerLoads(time.Now())
			}
		})
	}
}

// BenchmarkEngineCacheFollowerRefresh measures choosing the engines to follow and the peers
// to poll, done five times a second.
func BenchmarkEngineCacheFollowerRefresh(b *testing.B) {
	for _, size := range fleetSizes {
		b.Run(fmt.Sprintf("%dnodes", size.nodes), func(b *testing.B) {
			_, f := newFleetNode(b, size.nodes, size.engines)
			b.ReportAllocs()
			b.Cleanup(f.close)
			for b.Loop() {
				f.refresh(b.Context())
			}
		})
	}
}

// BenchmarkApplyCacheUpdates measures applying one second of cache changes of all engines,
// 20 changes from each.
func BenchmarkApplyCacheUpdates(b *testing.B) {
	for _, size := range fleetSizes {
		b.Run(fmt.Sprintf("%dnodes", size.nodes), func(b *testing.B) {
			_, f := newFleetNode(b, size.nodes, size.engines)
			f.rankEngines(f.chooseEngines(f.siteState.Snapshot()))
			var answers [][]byte
			for batch := range 20 {
				var a cacheUpdatesAnswer
				for i := range size.engines {
					if _, wanted := f.ranked[engineID(i)]; !wanted {
						continue
					}
					changes := []route.EngineCacheChange{{Part: route.PartHash(i*1000 + batch), Tokens: 3000}, {Part: route.PartHash(i*1000 + (batch+10)%20)}}
					a.Updates = append(a.Updates, packCacheUpdate(route.EngineCacheUpdate{Engine: engineID(i), Changes: changes}))
				}
				text, err := json.Marshal(a)
				if err != nil {
					b.Fatal(err)
				}
				answers = append(answers, text)
			}
			b.ReportAllocs()
			for b.Loop() {
				for _, text := range answers[:10] {
					var a cacheUpdatesAnswer
					if err := json.Unmarshal(text, &a); err != nil {
						b.Fatal(err)
					}
					f.applyPacked(a.Updates)
				}
			}
		})
	}
}
