package gateway

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"log/slog"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/drumpath/drumpath/pkg/control"
	"github.com/drumpath/drumpath/pkg/history"
	"github.com/drumpath/drumpath/pkg/route"
)

// A hall's sum lists only the busiest replicas: all of them would not fit a datagram.
func TestSumOfALargeHallFitsADatagram(t *testing.T) {
	n := &nodes{eras: &history.Eras{}, self: control.Member{Name: "n0", DataHall: "h"}, cacheIndex: route.NewCacheIndex(), loads: newLoadState()}
	const replicas = 3000
	for node := range 20 {
		s := receivedLoads{from: fmt.Sprint("n", node), receivedAt: time.Now()}
		for i := node; i < replicas; i += 20 {
			load := route.PeerLoad{Requests: 1, Memory: 9000 + i, Tokens: route.BandTokens{i}}
			s.loads = append(s.loads, route.ReplicaLoad{Key: route.HashName(fmt.Sprintf("i-%012d", i)), Load: load})
		}
		n.loads.byNode[s.from] = s
	}
	sum, _ := n.sumHall(nil, nil)
	list := busiest(sum, maxSumReplicas)
	assert.Equal(t, len(list), maxSumReplicas)
	busy := route.HashName(fmt.Sprintf("i-%012d", replicas-1))
	assert.Assert(t, slices.ContainsFunc(list, func(l route.ReplicaLoad) bool { return l.Key == busy }), "the busiest replica is in the sum")
	text, err := json.Marshal(loadNote{Loads: packLoads(list)})
	assert.NilError(t, err)
	// Link totals and the envelope take at most as much again.
	const datagram = 16 << 10
	assert.Assert(t, len(text) < datagram/2, "%d bytes", len(text))
}

// A load relay with a slow link sends less often.
func TestLoadRelayStaysWithinLinkShare(t *testing.T) {
	narrow := &nodes{self: control.Member{Link: 10}}
	assert.Equal(t, narrow.transmitTime(125_000), time.Second)
	wide := &nodes{self: control.Member{Link: 200}}
	assert.Equal(t, wide.transmitTime(125_000), 50*time.Millisecond)
	unknown := &nodes{}
	assert.Equal(t, unknown.transmitTime(125_000), time.Duration(0))
}

// A lost datagram leaves no sign, so loads must expire once nothing more arrives from a
// node, and those of other nodes must stay.
func TestLoadsOfSilentNodeExpire(t *testing.T) {
	n := newTestNodes(3)
	now := time.Now()
	for name, at := range map[string]time.Time{"a-1": now.Add(-loadExpiry / 2), "a-2": now.Add(-loadExpiry - time.Millisecond)} {
		n.loads.byNode[name] = receivedLoads{from: name, loads: []route.ReplicaLoad{{Key: route.HashName("r"), Load: route.PeerLoad{Requests: 1}}}, receivedAt: at}
	}
	n.mergePeerLoads(now)
	_, known := n.loads.byNode["a-1"]
	assert.Assert(t, known)
	_, known = n.loads.byNode["a-2"]
	assert.Assert(t, !known)
}

func TestPackedLoadsRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		loads := []route.ReplicaLoad{}
		var links []route.StoreTally
		number := rapid.IntRange(0, maxNumber)
		for range rapid.IntRange(0, 8).Draw(t, "replicas") {
			var all loadNumbers
			for i := range all {
				all[i] = number.Draw(t, "n")
			}
			l := route.ReplicaLoad{Key: route.NameHash(rapid.Uint32().Draw(t, "key")), Load: all.load()}
			loads = append(loads, l)
			tally := route.Tally{Bytes: int64(number.Draw(t, "bytes")), Late: int64(number.Draw(t, "late")), Early: int64(number.Draw(t, "early"))}
			links = append(links, route.StoreTally{Key: l.Key, Tally: tally})
		}
		got, err := unpackLoads(packLoads(loads))
		assert.NilError(t, err)
		assert.DeepEqual(t, got, loads)
		gotLinks, err := unpackTallies(packTallies(links))
		assert.NilError(t, err)
		assert.DeepEqual(t, gotLinks, links)
		if whole := packLoads(loads); len(whole) > 0 {
			_, err = unpackLoads(whole[:len(whole)-1])
			assert.ErrorIs(t, err, errTruncated)
		}
	})
}

// A later version may send more numbers for each replica; the known ones must still be
// read.
func TestUnpackIgnoresNumbersOfLaterVersions(t *testing.T) {
	later := []byte{0, 0, 0, 7}
	later = binary.AppendUvarint(later, 1|1<<40)
	later = binary.AppendUvarint(later, 3)
	later = binary.AppendUvarint(later, 99)
	got, err := unpackLoads(append(later, packLoads([]route.ReplicaLoad{{Key: 8, Load: route.PeerLoad{Memory: 5}}})...))
	assert.NilError(t, err)
	assert.DeepEqual(t, got, []route.ReplicaLoad{{Key: 7, Load: route.PeerLoad{Requests: 3}}, {Key: 8, Load: route.PeerLoad{Memory: 5}}})
}

// A note that can't be decoded must not remove loads received before.
func TestUndecodableNoteIsCountedAndDropped(t *testing.T) {
	n := newTestNodes(3)
	send := func(seq uint64, loads []byte) {
		text, err := json.Marshal(loadNote{From: "a-1", Hall: "a", Incarnation: 1, Seq: seq, Loads: loads})
		assert.NilError(t, err)
		n.handleLoads(text)
	}
	send(1, packLoads([]route.ReplicaLoad{{Key: 9, Load: route.PeerLoad{Requests: 4}}}))
	send(2, []byte{1, 2})
	n.handleLoads(json.RawMessage(`{"f": 1}`))
	assert.Equal(t, n.notesDropped.Load(), int64(2))
	assert.DeepEqual(t, n.sumPeerLoads(time.Now()), map[route.NameHash]route.PeerLoad{9: {Requests: 4}})
}

// Memory by band makes a sum longer; one that exceeds a datagram would not be sent at all.
func TestSumWithMemoryByBandFitsADatagram(t *testing.T) {
	sum := map[route.NameHash]route.PeerLoad{}
	for i := range 3000 {
		tokens := route.BandTokens{70_000 + i, 70_000, 70_000, 70_000}
		sum[route.HashName(fmt.Sprint(i))] = route.PeerLoad{Requests: 200, Memory: 280_000 + i, Tokens: tokens, BandMemory: tokens}
	}
	links := make([]route.StoreTally, 300)
	for i := range links {
		links[i] = route.StoreTally{Key: route.NameHash(i), Tally: route.Tally{Bytes: 1 << 33, Late: 100, Early: 10_000}}
	}
	packed := packSum(sum)
	text, err := json.Marshal(loadNote{From: "front-1234", Hall: "hall-12", Incarnation: 1 << 62, Seq: 1 << 30, Loads: packed, Links: packTallies(links)})
	assert.NilError(t, err)
	const datagram, envelope = 16 << 10, 200
	assert.Assert(t, len(text) < datagram-envelope, "%d bytes", len(text))
	list, err := unpackLoads(packed)
	assert.NilError(t, err)
	assert.Assert(t, len(list) > maxSumReplicas/2, "%d replicas", len(list))
}

// A node of the previous release reads the numbers that it knows from a load with memory by
// band, and its own loads arrive without it.
func TestMemoryByBandIsReadableInBothDirections(t *testing.T) {
	load := route.PeerLoad{Requests: 3, Memory: 30, Tokens: route.BandTokens{1, 2, 3, 4}, BandMemory: route.BandTokens{10, 0, 20, 0}}
	packed := packLoads([]route.ReplicaLoad{{Key: 7, Load: load}})
	// The numbers known before come first, with unchanged positions.
	before := []byte{0, 0, 0, 7, 0b111111, 3, 30, 1, 2, 3, 4}
	u := unpacker{rest: packed}
	assert.Equal(t, u.key(), route.NameHash(7))
	assert.Equal(t, u.number()&0b111111, uint64(0b111111))
	assert.DeepEqual(t, u.rest[:6], before[5:])
	got, err := unpackLoads(before)
	assert.NilError(t, err)
	load.BandMemory = route.BandTokens{}
	assert.DeepEqual(t, got, []route.ReplicaLoad{{Key: 7, Load: load}})
}

// The room that is left free for requests of other nodes depends on the age of their loads. Sums
// that have passed a relay and come seldom are older than the time since their arrival.
func TestAgeOfLoadsIncludesTheIntervalBetweenNotes(t *testing.T) {
	n := newTestNodes(3)
	now := time.Now()
	assert.Equal(t, n.meanLoadAge(now), time.Duration(0))
	n.loads.byNode["a-1"] = receivedLoads{from: "a-1", hall: "a", receivedAt: now.Add(-100 * time.Millisecond), interval: 100 * time.Millisecond}
	n.loads.byHall["b"] = receivedLoads{from: "b-0", hall: "b", receivedAt: now.Add(-200 * time.Millisecond), interval: 400 * time.Millisecond}
	assert.Equal(t, n.meanLoadAge(now), 400*time.Millisecond)
	n.loads.byHall["b"] = receivedLoads{from: "b-0", hall: "b", receivedAt: now.Add(-loadExpiry), interval: 5 * loadExpiry}
	assert.Equal(t, n.meanLoadAge(now), loadExpiry)
}

// A sum lists only the busiest replicas, and what waits in queues has no memory at a replica. It
// must not be cut off, as all nodes shed by it.
func TestSumKeepsQueues(t *testing.T) {
	queue := route.ReplicaLoad{Key: route.HashName("queue/s"), Load: route.PeerLoad{Tokens: route.BandTokens{0, 0, 1}}}
	sum := map[route.NameHash]route.PeerLoad{queue.Key: queue.Load}
	for i := range 3000 {
		sum[route.NameHash(i)] = route.PeerLoad{Requests: 1 + i%9, Memory: 9000 + i}
	}
	list, err := unpackLoads(packSum(sum))
	assert.NilError(t, err)
	assert.DeepEqual(t, list[0], queue)
}

// A node that did not reach the store heard of its new era only when it next asked another node.
func TestLoadsTellTheEra(t *testing.T) {
	n := &nodes{eras: &history.Eras{}, self: control.Member{Name: "n0", DataHall: "h"}, cacheIndex: route.NewCacheIndex(), loads: newLoadState(), siteState: newWeightsState(), log: slog.New(slog.DiscardHandler)}
	for _, era := range []history.Era{2, 1} {
		note := loadNote{From: "n1", Hall: "h", Incarnation: 1, Seq: uint64(era), Loads: packLoads(nil), Era: era}
		text, err := json.Marshal(note)
		assert.NilError(t, err)
		n.handleLoads(text)
		known, _, ok := n.eras.Current()
		assert.Assert(t, ok && known == 2)
	}
	assert.Equal(t, n.newLoadNote().Era, history.Era(2))
}
