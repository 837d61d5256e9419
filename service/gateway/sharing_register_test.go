package gateway

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/drumpath/drumpath/pkg/control"
	"github.com/drumpath/drumpath/pkg/route"
	"github.com/drumpath/drumpath/pkg/site"
)

// sharingFleet is nodes that keep the record of sharing in one store, with an operator who changes which organisations are
// isolated.
type sharingFleet struct {
	*recordStore

	members *control.Members
	nodes   []*sharingNode
	config  *site.Snapshot // The newest.
	// makers has by the name of a cache group the organisations whose requests have made something in it.
	makers map[string]map[string]bool
}

type sharingNode struct {
	*sharingRegister

	inForce *site.Snapshot
}

func newSharingFleet(n int) *sharingFleet {
	f := &sharingFleet{recordStore: newRecordStore(site.TableSharing), makers: map[string]map[string]bool{}}
	list := make([]control.Member, n)
	for i := range list {
		list[i] = control.Member{Name: fmt.Sprintf("n%d", i), Incarnation: 1}
	}
	f.members = control.NewMembers(list[0], time.Second, nil, rand.New(rand.NewPCG(1, 2)))
	f.members.Merge(list, f.clock)
	for _, m := range list {
		f.nodes = append(f.nodes, f.newNode(m))
	}
	return f
}

// newNode returns a node that has just started.
func (f *sharingFleet) newNode(m control.Member) *sharingNode {
	log := slog.New(slog.DiscardHandler)
	st := NewSiteState(nil, "h", time.Second, route.NewCacheIndex(), log)
	n := &sharingNode{sharingRegister: newSharingRegister(m, f.members, f.recordStore, st, log)}
	n.now = f.now
	return n
}

// configure has the operator write the next version, with whether each organisation is isolated.
func (f *sharingFleet) configure(isolated map[string]bool) {
	services := map[string]*site.Service{"llm": {Name: "llm", Engine: &site.Engine{}}}
	version := int64(1)
	if f.config != nil {
		version = f.config.Version + 3
	}
	s := site.NewSnapshot(version, nil, services, site.Limits{})
	s.RequireKey = true
	for name, is := range isolated {
		s.AddOrganisation(&site.Organisation{Name: name, Isolated: is}, "key-"+name)
	}
	f.config = s
}

// read lets a node read the operator's table.
func (f *sharingFleet) read(n *sharingNode) {
	n.siteState.configure(f.config, f.clock)
	n.inForce = f.config
}

// gossip has a node tell another one what it knows.
func (f *sharingFleet) gossip(from, to *sharingNode) {
	to.siteState.LearnSharing(from.siteState.sharingHistory().Newest(), sharingTold, f.clock)
}

// told is how many nodes each node tells what it knows at each step.
const told = 6

// run lets time pass in which all nodes take their steps and tell others.
func (f *sharingFleet) run(d time.Duration) {
	for end := f.clock.Add(d); f.clock.Before(end); f.clock = f.clock.Add(sharingRegisterInterval) {
		for _, n := range f.nodes {
			f.read(n)
			n.step(context.Background())
			for range told {
				f.gossip(n, f.nodes[rand.IntN(len(f.nodes))])
			}
		}
	}
}

// group returns the cache group of an organisation's requests at a node.
func (f *sharingFleet) group(n *sharingNode, organisation string) string {
	return realm{model: "m", weights: 1, group: n.siteState.cacheGroup(organisation)}.String()
}

// use has a request of an organisation run at a node, and returns an organisation whose memory it must not use but does,
// "" for none.
func (f *sharingFleet) use(n *sharingNode, organisation string) (forbidden string) {
	if _, ok := n.inForce.Isolation()[organisation]; !ok {
		return ""
	}
	group := f.group(n, organisation)
	if f.makers[group] == nil {
		f.makers[group] = map[string]bool{}
	}
	for maker := range f.makers[group] {
		if maker != organisation && !f.maySee(n, organisation, maker) {
			forbidden = maker
		}
	}
	f.makers[group][organisation] = true
	return forbidden
}

// maySee reports whether one organisation may use memory of another by the configuration in force at a node.
func (f *sharingFleet) maySee(n *sharingNode, organisation, maker string) bool {
	isolated := n.inForce.Isolation()
	return !isolated[organisation] && !isolated[maker]
}

// What organisations had made while they shared was used by others after they had become isolated. Here they become isolated
// and shared again, are removed and come back, while nodes hear late, restart, miss versions, and the store fails or
// comes back from a copy.
func TestMemoryOfOrganisationsThatBecomeIsolatedIsNotUsedByOthers(t *testing.T) {
	const runs = 20 // Of as many sequences as the flag rapid.checks says.
	for range runs {
		rapid.Check(t, checkIsolation)
	}
}

func checkIsolation(t *rapid.T) {
	f := newSharingFleet(3)
	drawConfig := func(t *rapid.T) {
		isolated := map[string]bool{}
		for _, name := range []string{"a", "b", "c"} {
			if state := rapid.IntRange(0, 4).Draw(t, name); state > 0 {
				isolated[name] = state == 1
			}
		}
		f.configure(isolated)
	}
	drawNode := func(t *rapid.T) *sharingNode { return f.nodes[rapid.IntRange(0, len(f.nodes)-1).Draw(t, "node")] }
	drawConfig(t)
	f.run(time.Second)
	copied := f.row
	t.Repeat(map[string]func(*rapid.T){
		"configure": drawConfig,
		"read":      func(t *rapid.T) { f.read(drawNode(t)) },
		"step":      func(t *rapid.T) { drawNode(t).step(context.Background()) },
		"gossip":    func(t *rapid.T) { f.gossip(drawNode(t), drawNode(t)) },
		"pass": func(t *rapid.T) {
			f.clock = f.clock.Add(rapid.SampledFrom([]time.Duration{50 * time.Millisecond, 400 * time.Millisecond, 3 * time.Second}).Draw(t, "time"))
		},
		"run":  func(*rapid.T) { f.run(time.Second) },
		"fail": func(t *rapid.T) { f.fail = map[bool]error{true: errStoreRefuses}[rapid.Bool().Draw(t, "fail")] },
		"lose": func(*rapid.T) { f.loseNext = true },
		"copy": func(*rapid.T) { copied = f.row },
		"return": func(*rapid.T) {
			f.row = copied
			f.eras.Observe(f.position(0).Era+1, f.clock)
		},
		"restart": func(t *rapid.T) {
			i := rapid.IntRange(0, len(f.nodes)-1).Draw(t, "node")
			f.nodes[i] = f.newNode(f.nodes[i].self)
			f.read(f.nodes[i])
		},
		"": func(t *rapid.T) {
			n, organisation := drawNode(t), rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "organisation")
			if maker := f.use(n, organisation); maker != "" {
				t.Fatalf("%s uses memory of %s in %s", organisation, maker, f.group(n, organisation))
			}
		},
	})
}

// Others must not lose what they keep when an organisation joins that is isolated from the first day, one that shares joins,
// or one is removed.
func TestSharedMemoryIsKeptAsOrganisationsComeAndGo(t *testing.T) {
	f := newSharingFleet(7)
	f.configure(map[string]bool{"a": false, "b": false, "old": true})
	f.run(time.Second)
	shared := f.group(f.nodes[0], "a")
	for _, tc := range []struct {
		isolated map[string]bool
		// apart is for how long what is made may be kept apart, until the nodes know that nobody was isolated who had shared.
		apart time.Duration
	}{
		{isolated: map[string]bool{"a": false, "b": false, "old": true, "new": true}, apart: 200 * time.Millisecond},
		{isolated: map[string]bool{"a": false, "b": false, "c": false, "new": true}},
		{isolated: map[string]bool{"a": false, "c": false}},
		{isolated: map[string]bool{"a": false, "b": false, "new": true, "old": true}, apart: 200 * time.Millisecond},
	} {
		f.configure(tc.isolated)
		for since := time.Duration(0); since < time.Second; since += sharingRegisterInterval {
			f.run(sharingRegisterInterval)
			for _, n := range f.nodes {
				assert.Check(t, since < tc.apart || f.group(n, "a") == shared, "%s: %s after %v", n.self.Name, f.group(n, "a"), since)
			}
		}
	}
	f.configure(map[string]bool{"a": false, "b": true})
	f.run(time.Second)
	assert.Assert(t, f.group(f.nodes[0], "a") != shared)
}

// A change of the configuration must cost the store few calls, whatever the number of nodes.
func TestFewNodesReadAndWriteTheRecordOfSharedCache(t *testing.T) {
	for _, n := range []int{1, 7, 71, 295, 900} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			f := newSharingFleet(n)
			f.configure(map[string]bool{"a": false})
			f.run(2 * time.Second)
			f.lists, f.puts = 0, 0
			f.configure(map[string]bool{"a": false, "b": true})
			f.run(2 * time.Second)
			for _, n := range f.nodes {
				assert.Equal(t, f.group(n, "a"), f.group(f.nodes[0], "a"))
			}
			assert.Assert(t, f.lists <= sharingRecorders && f.puts == 1, "%d reads, %d writes", f.lists, f.puts)
		})
	}
}
