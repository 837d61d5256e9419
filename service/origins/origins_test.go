package origins

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"math/rand/v2"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/drumpath/drumpath/pkg/control"
	"github.com/drumpath/drumpath/pkg/history"
	"github.com/drumpath/drumpath/pkg/origin"
	"github.com/drumpath/drumpath/pkg/site"
)

const (
	service  = "llm"
	linkTime = 2 * time.Millisecond
)

// testFleet is a set of nodes with their store, in virtual time.
type testFleet struct {
	list   []control.Member
	nodes  map[string]*Origins
	byAddr map[netip.AddrPort]*Origins

	mu           sync.Mutex
	software     []string
	storeRows    map[string]site.Row
	storeVersion int64
	storeEra     history.Era
	restarted    map[string]bool // Nodes that have had an earlier process.
	storeSilent  map[string]bool // Nodes that the store does not answer; "" for all.
	splitRoutes  bool
	dead         map[string]bool
	loss         float64 // Share of notes that are lost.
	rng          *rand.Rand
	sentBytes    map[string]int // By node.
	received     map[string]int // Notes by node.
	reads        int
	writes       int
}

func newTestFleet(t *testing.T, n, halls int, software ...string) *testFleet {
	f := &testFleet{
		nodes: map[string]*Origins{}, byAddr: map[netip.AddrPort]*Origins{}, software: software,
		storeRows: map[string]site.Row{}, storeSilent: map[string]bool{}, dead: map[string]bool{},
		rng: rand.New(rand.NewPCG(uint64(n), 3)), sentBytes: map[string]int{}, received: map[string]int{},
	}
	for i := range n {
		f.list = append(f.list, control.Member{
			Name: fmt.Sprint("n", i), DataHall: fmt.Sprint("h", i%halls), Incarnation: 1,
			Peer: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, byte(i / 250), byte(1 + i%250)}), 1),
		})
	}
	for i := range f.list {
		f.start(i)
	}
	t.Cleanup(func() {
		for _, o := range f.nodes {
			o.Close()
		}
	})
	f.step(5)
	return f
}

// start starts a node without any knowledge.
func (f *testFleet) start(i int) *Origins {
	m := f.list[i]
	members := control.NewMembers(m, time.Second, nil, f.rng)
	members.Merge(f.list, time.Now())
	link := &testLink{fleet: f, self: m, members: members}
	o := New(m, members, link, link, slog.New(slog.DiscardHandler))
	o.SetNotifier(link)
	o.SetFleet(link)
	f.mu.Lock()
	f.nodes[m.Name], f.byAddr[m.Peer] = o, o
	delete(f.dead, m.Name)
	f.mu.Unlock()
	return o
}

// kill ends a node, with all that it knows, and tells the others.
func (f *testFleet) kill(i int) {
	f.mu.Lock()
	f.dead[f.list[i].Name] = true
	f.mu.Unlock()
	f.node(i).Close()
}

func (f *testFleet) node(i int) *Origins {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.nodes[f.list[i].Name]
}

// step has all nodes that live do their periodic work some times.
func (f *testFleet) step(times int) {
	for range times {
		for i := range f.list {
			if !f.isDead(f.list[i].Name) {
				f.node(i).Step(context.Background())
			}
		}
		time.Sleep(StepInterval)
	}
}

func (f *testFleet) isDead(name string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.dead[name]
}

func (f *testFleet) setSoftware(software ...string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.software = software
}

func (f *testFleet) silenceStore(node string, silent bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.storeSilent[node] = silent
}

// counts returns and resets the numbers of reads and writes of the store.
func (f *testFleet) counts() (reads, writes int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	reads, writes = f.reads, f.writes
	f.reads, f.writes = 0, 0
	return reads, writes
}

// testLink connects one node to the others and to the store.
type testLink struct {
	fleet   *testFleet
	self    control.Member
	members *control.Members
	eras    history.Eras
}

func (l *testLink) Eras() *history.Eras { return &l.eras }

func (l *testLink) FirstStart() bool {
	l.fleet.mu.Lock()
	defer l.fleet.mu.Unlock()
	return !l.fleet.restarted[l.self.Name]
}

func (l *testLink) Recipients(try int) (direct, relays []netip.AddrPort) {
	return l.members.View().Recipients(l.self.Name, 32, "news/", try)
}

func (l *testLink) HallPeers() []netip.AddrPort {
	return l.members.View().Peers(l.self.Name, l.self.DataHall)
}

func (l *testLink) SendNote(to []netip.AddrPort, method string, params any) (sent int) {
	body, err := json.Marshal(params)
	if err != nil {
		panic(err)
	}
	f := l.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, addr := range to {
		sent += len(body)
		o := f.byAddr[addr]
		f.sentBytes[l.self.Name] += len(body)
		if o == nil || f.dead[o.self.Name] || f.dead[l.self.Name] || f.rng.Float64() < f.loss {
			continue
		}
		f.received[o.self.Name]++
		time.AfterFunc(linkTime, func() { o.deliver(method, body) })
	}
	return sent
}

func (o *Origins) deliver(method string, body []byte) {
	var err error
	switch method {
	case NoteVersions:
		var n versionsNote
		err = json.Unmarshal(body, &n)
		o.HandleVersions(n)
	case NoteRecords:
		var n recordsNote
		err = json.Unmarshal(body, &n)
		o.HandleRecords(n)
	case NoteLookup:
		var n lookupNote
		err = json.Unmarshal(body, &n)
		o.HandleLookup(n)
	}
	if err != nil {
		panic(err)
	}
}

var errNoAnswer = errors.New("no answer")

func (l *testLink) CallWithin(ctx context.Context, within time.Duration, addr netip.AddrPort, _ string, params, result any) error {
	o := l.fleet.byAddr[addr]
	if l.fleet.isDead(o.self.Name) {
		time.Sleep(within)
		return errNoAnswer
	}
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	out, err := o.ServeVersions(ctx, params.(versionsRequest))
	if err == nil {
		*result.(*versionsAnswer) = out
	}
	return err
}

// reach waits for the answer of the store, which names its era; it fails while the store is silent.
func (l *testLink) reach(ctx context.Context) error {
	l.fleet.mu.Lock()
	silent := l.fleet.storeSilent[""] || l.fleet.storeSilent[l.self.Name]
	l.fleet.mu.Unlock()
	if silent {
		<-ctx.Done()
		return ctx.Err()
	}
	time.Sleep(linkTime)
	l.fleet.mu.Lock()
	era := l.fleet.storeEra
	l.fleet.mu.Unlock()
	l.eras.Observe(era, time.Now())
	return nil
}

func (l *testLink) List(ctx context.Context, _ site.Table) (out site.Listing, err error) {
	if err := l.reach(ctx); err != nil {
		return out, err
	}
	f := l.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reads++
	for _, r := range f.storeRows {
		r.Position.Era = f.storeEra
		out.Rows = append(out.Rows, r)
	}
	out.Position, out.Now = history.Position{Era: f.storeEra, Version: f.storeVersion}, time.Duration(time.Now().UnixNano())
	return out, nil
}

func (l *testLink) Put(ctx context.Context, _ site.Table, key string, value []byte, expected history.Position) (out site.Listing, err error) {
	if err := l.reach(ctx); err != nil {
		return out, err
	}
	f := l.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	f.writes++
	if f.storeRows[key].Position.Version != expected.Version {
		return out, site.ErrConflict
	}
	f.storeVersion++
	f.storeRows[key] = site.Row{Key: key, Value: value, Position: history.Position{Era: f.storeEra, Version: f.storeVersion}}
	if expected.Era != f.storeEra {
		return out, site.ErrEraEnded
	}
	return site.Listing{Position: f.storeRows[key].Position}, nil
}

func (l *testLink) Services() []string { return []string{service} }

func (l *testLink) SharesRoutes(string) bool {
	l.fleet.mu.Lock()
	defer l.fleet.mu.Unlock()
	return l.fleet.splitRoutes
}

func (l *testLink) Software(string) []string {
	l.fleet.mu.Lock()
	defer l.fleet.mu.Unlock()
	return l.fleet.software
}

func (l *testLink) StoreSilent(time.Time) bool {
	l.fleet.mu.Lock()
	defer l.fleet.mu.Unlock()
	return l.fleet.storeSilent[""] || l.fleet.storeSilent[l.self.Name]
}

var v2 = origin.Origin{Service: service, Software: "v2"}

func key(i int) origin.Key { return origin.KeyOf("", "h", "/", fmt.Sprint(i)) }

// begin has a node begin streams of a version; their keys begin with first.
func (f *testFleet) begin(node, first, count int, o origin.Origin) {
	for i := range count {
		f.node(node).Begin(key(first+i), o, "r", time.Now().Add(10*time.Second))
	}
}

// resolve has a client return to a node with a stream.
func (f *testFleet) resolve(node, stream int) Answer {
	k := key(stream)
	return f.node(node).Resolve(context.Background(), Query{Named: &k, Service: service})
}

// The nodes that began streams are killed, and others take the streams up.
func TestStreamsOfKilledNodesGoOn(t *testing.T) {
	for _, n := range []int{7, 71, 295} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newTestFleet(t, n, 5, "v1", "v2")
				f.begin(0, 0, 100, v2)
				time.Sleep(2 * sendDelay)
				f.kill(0)
				for i := range 100 {
					a := f.resolve(1+i%(n-1), i)
					assert.Equal(t, a.Verdict, origin.GoesOn)
					assert.Equal(t, a.Origin, v2)
				}
				began := time.Now()
				assert.Equal(t, f.resolve(1, 1000).Verdict, origin.Unknown)
				assert.Assert(t, time.Since(began) <= lookupTimeout+f.node(1).lookupInterval(), "the client is told at once")
			})
		})
	}
}

// Notes get lost, and so do relays together with the node that began the stream.
func TestLostNotesRarelyLoseStreams(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, 71, 3, "v1", "v2")
		f.loss = 0.1
		const streams = 200
		for i := range streams { // One by one: each record is in datagrams of its own.
			f.begin(i%10, i, 1, v2)
			time.Sleep(sendDelay)
		}
		for i := range 10 {
			f.kill(i)
		}
		wentOn := 0
		for i := range streams {
			if f.resolve(10+i%61, i).Verdict == origin.GoesOn {
				wentOn++
			}
		}
		t.Logf("%d of %d go on", wentOn, streams)
		assert.Assert(t, wentOn >= streams*3/4)
	})
}

// A holder that has restarted has no records; those of live nodes must be sent again.
func TestRestartedHoldersAreSentRecordsAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, 7, 3, "v1", "v2")
		f.begin(0, 0, 10, v2)
		time.Sleep(2 * sendDelay)
		for i := 1; i < 7; i++ {
			f.kill(i)
			f.list[i].Incarnation++
		}
		f.node(0).members.Merge(f.list, time.Now())
		for i := 1; i < 7; i++ {
			f.start(i)
		}
		f.step(5)
		f.kill(0)
		for i := range 10 {
			assert.Equal(t, f.resolve(1+i%6, i).Verdict, origin.GoesOn)
		}
	})
}

// A node that stops hands over what it knows, also while there was only one version.
func TestStoppingNodeHandsOverItsRecords(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, 7, 3, "v2")
		f.begin(0, 0, 100, v2)
		time.Sleep(time.Second)
		assert.Equal(t, f.replicatedBytes(), int64(0))
		f.node(0).HandOver()
		time.Sleep(linkTime)
		f.kill(0)
		f.setSoftware("v1", "v2")
		f.step(10)
		for i := range 100 {
			assert.Equal(t, f.resolve(1+i%6, i).Origin, v2)
		}
	})
}

// replicatedBytes is the bytes of records that all nodes have sent.
func (f *testFleet) replicatedBytes() (sum int64) {
	for _, o := range f.nodes {
		sum += o.Status().SentBytes
	}
	return sum
}

// While a service has one version nothing is sent, and clients that return at the same time share reads.
func TestOneVersionCostsOnlySharedReads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, 7, 3, "v1")
		f.counts()
		f.begin(0, 0, 100, origin.Origin{Service: service, Software: "v1"})
		time.Sleep(time.Second)
		var wg sync.WaitGroup
		for range 500 {
			wg.Go(func() {
				a := f.node(1).Resolve(context.Background(), Query{Service: service})
				assert.Check(t, a.Verdict == origin.GoesOn && a.Software == "v1")
			})
		}
		wg.Wait()
		reads, writes := f.counts()
		assert.Assert(t, reads <= 2 && writes == 0, "%d reads, %d writes", reads, writes)
		assert.Equal(t, f.replicatedBytes(), int64(0))
	})
}

// A node whose copy of the list shows one version must not take it for the only one: another may have
// begun streams since.
func TestStreamOfNewVersionIsNotJoinedWithTheOldOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, 7, 3, "v1")
		assert.Assert(t, !f.node(0).MayBegin(service, "v2"))
		f.setSoftware("v1", "v2")
		f.loss = 1 // Nodes don't learn of it from each other.
		for range 20 {
			f.node(0).Step(context.Background())
			time.Sleep(StepInterval)
		}
		assert.Assert(t, f.node(0).MayBegin(service, "v2"))
		assert.Assert(t, !f.node(1).severalVersions(service))
		a := f.node(1).Resolve(context.Background(), Query{Service: service})
		assert.Equal(t, a.Verdict, origin.Unknown)
	})
}

// The store turns one node away: it reads the list through another node.
func TestNodeThatTheStoreTurnsAwayReadsThroughOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, 7, 3, "v1")
		f.silenceStore("n1", true)
		a := f.resolve(1, 1)
		assert.Equal(t, a.Verdict, origin.GoesOn)
		f.kill(1)
		f.start(1)
		f.step(10)
		assert.Assert(t, f.node(1).MayBegin(service, "v1"))
	})
}

// The store is silent for all: what began since is replicated, and known from the records.
func TestStreamsGoOnWhileTheStoreIsSilent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, 7, 3, "v2")
		f.begin(0, 0, 10, v2)
		f.silenceStore("", true)
		f.step(2)
		f.begin(0, 10, 10, v2)
		time.Sleep(2 * sendDelay)
		f.kill(0)
		for i := range 20 {
			assert.Equal(t, f.resolve(1+i%6, i).Verdict, origin.GoesOn)
		}
		assert.Equal(t, f.resolve(1, 100).Verdict, origin.Unknown)
		assert.Assert(t, f.node(1).MayBegin(service, "v2"), "new streams begin as before")
		began := time.Now()
		assert.Assert(t, !f.node(1).AwaitVersion(context.Background(), service, []string{"v3"}))
		assert.Equal(t, time.Since(began), time.Duration(0), "a version can't be listed now")
	})
}

// A replica was started again under its ID with another version, before its row showed that: the streams that it
// began then are not of the version that was recorded.
func TestStreamsOfReplicaWithOtherSoftwareAreUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, 7, 3, "v1", "v2")
		f.begin(0, 0, 10, v2)
		time.Sleep(2 * sendDelay)
		f.node(0).HandleOtherSoftware("another")
		time.Sleep(linkTime)
		assert.Equal(t, f.resolve(1, 0).Verdict, origin.GoesOn)
		f.node(0).HandleOtherSoftware("r")
		time.Sleep(linkTime)
		for i := 1; i < 10; i++ {
			assert.Equal(t, f.resolve(i%7, i).Verdict, origin.Unknown)
		}
	})
}

// Routes divide streams between services that have one version each: only a record tells at which of them a
// stream began.
func TestStreamsOfSplitRoutesGoOnAtTheirService(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, 7, 3, "v2")
		f.splitRoutes = true
		f.begin(0, 0, 10, v2)
		time.Sleep(2 * sendDelay)
		f.kill(0)
		for i := range 10 {
			k := key(i)
			a := f.node(1+i%6).Resolve(context.Background(), Query{Named: &k})
			assert.Equal(t, a.Origin, v2)
		}
		assert.Equal(t, f.node(1).Resolve(context.Background(), Query{}).Verdict, origin.Unknown)
	})
}

// A node that reaches no other one sends the client to those that may know.
func TestIsolatedNodeSendsClientsElsewhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, 3, 3, "v1", "v2")
		for _, m := range f.list[1:] {
			m.State = control.MemberDead
			f.node(0).members.Merge([]control.Member{m}, time.Now())
		}
		assert.Equal(t, f.resolve(0, 1).Verdict, origin.Unreachable)
	})
}

// All nodes of a large fleet see a new version at the same time; few may write or read the list.
func TestNewVersionIsListedByFewNodes(t *testing.T) {
	for _, n := range []int{7, 295, 900} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newTestFleet(t, n, 7, "v1")
				f.counts()
				f.setSoftware("v1", "v2")
				f.step(1)
				time.Sleep(StepInterval)
				f.step(5)
				for i := range n {
					assert.Assert(t, f.node(i).MayBegin(service, "v2"))
				}
				reads, writes := f.counts()
				t.Logf("%d reads, %d writes", reads, writes)
				assert.Assert(t, reads <= 3 && writes <= 3)
			})
		})
	}
}

// Nodes that start together don't know of each other yet, and all write the list. One that another was ahead of
// refused the streams of its clients until its next try.
func TestNodesThatListVersionsAtTheSameTimeAllUseThem(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, 5, 3, "v1")
		f.loss = 1
		f.setSoftware("v1", "v2")
		var wg sync.WaitGroup
		for i := range 5 {
			wg.Go(func() {
				f.node(i).correct(context.Background(), service)
				assert.Check(t, f.node(i).MayBegin(service, "v2"))
			})
		}
		wg.Wait()
		_, writes := f.counts()
		assert.Assert(t, writes > 1, "they wrote at the same time")
	})
}

// Clients name attempts that don't exist: what that sends to other nodes is bounded.
func TestUnknownAttemptsDoNotFloodOtherNodes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const n, clients = 295, 500
		f := newTestFleet(t, n, 5, "v1", "v2")
		before := f.received["n1"]
		began := time.Now()
		var wg sync.WaitGroup
		for i := range clients {
			wg.Go(func() {
				time.Sleep(time.Duration(i) * time.Millisecond)
				assert.Check(t, f.resolve(0, i).Verdict == origin.Unknown)
			})
		}
		wg.Wait()
		received, took := f.received["n1"]-before, time.Since(began)
		// Each lookup is sent twice, and one node in each hall gets it once more as its relay.
		most := 4*int(took/f.node(0).lookupInterval()) + 4*(clients/maxKeysPerNote+1)
		t.Logf("%d notes reached another node in %s, at most %d", received, took, most)
		assert.Assert(t, received <= most)
	})
}

// maxControlBytes is what a node may send for control in a second.
const maxControlBytes = 3000

// Bytes and memory that streams cost while their service has several versions.
func TestCostOfReplicatedRecords(t *testing.T) {
	for _, c := range []struct {
		nodes   int
		perNode float64 // Streams that begin at each node in a second.
	}{{7, 15}, {71, 40}, {295, 40}, {900, 67}} {
		t.Run(fmt.Sprint(c.nodes), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newTestFleet(t, c.nodes, 7, "v1", "v2")
				const seconds = 10
				perNode := int(c.perNode)
				var before int64
				for i := range perNode * seconds {
					f.begin(0, i, 1, v2)
					time.Sleep(time.Second / time.Duration(perNode))
					if i == perNode*seconds/2 { // The burst at the beginning is over.
						before = f.node(0).Status().SentBytes
					}
				}
				bytes := float64(f.node(0).Status().SentBytes-before) / (seconds / 2)
				time.Sleep(maxSendDelay)
				s := f.node(0).Status()
				t.Logf("%.0f streams a second: %.0f bytes a second sent, %d records held", c.perNode, bytes, s.Own)
				assert.Equal(t, s.SentRecords, int64(perNode*seconds))
				assert.Assert(t, bytes <= maxControlBytes)
			})
		})
	}
}

// storeCopy is a copy of the store's rows.
type storeCopy struct {
	rows    map[string]site.Row
	version int64
}

func (f *testFleet) copyStore() storeCopy {
	f.mu.Lock()
	defer f.mu.Unlock()
	return storeCopy{maps.Clone(f.storeRows), f.storeVersion}
}

// returnStore has the store come back from a copy.
func (f *testFleet) returnStore(c storeCopy) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.storeRows, f.storeVersion = maps.Clone(c.rows), c.version
	f.storeEra++
}

// hearOfEra has all nodes hear of the store's era, as by their other calls.
func (f *testFleet) hearOfEra() {
	for _, o := range f.nodes {
		o.store.Eras().Observe(f.storeEra, time.Now())
	}
}

// restart ends nodes with all that they know and starts them again.
func (f *testFleet) restart(nodes ...int) {
	for _, i := range nodes {
		f.kill(i)
	}
	for _, i := range nodes {
		f.mu.Lock()
		if f.restarted == nil {
			f.restarted = map[string]bool{}
		}
		f.restarted[f.list[i].Name] = true
		f.mu.Unlock()
		f.start(i)
	}
}

// newEraFleet is a fleet whose store has eras and whose service has one version, for long enough that its list is
// complete.
func newEraFleet(t *testing.T, nodes int) *testFleet {
	f := newTestFleet(t, nodes, 3, "v1")
	f.returnStore(f.copyStore())
	f.step(100)
	return f
}

// A version that was listed after the copy was taken was missing from the list, and its streams went on at the only
// version left.
func TestStreamOfALostVersionIsNotJoinedWithTheOnlyOne(t *testing.T) {
	for _, n := range []int{7, 71} {
		for _, restarted := range []int{0, 1, 3, n} {
			t.Run(fmt.Sprintf("%d of %d nodes started anew", restarted, n), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					f := newEraFleet(t, n)
					copied := f.copyStore()
					f.setSoftware("v1", "v2")
					f.step(30)
					assert.Assert(t, f.node(n-1).MayBegin(service, "v2"))
					f.begin(n-1, 0, 40, v2)
					f.step(3)
					f.setSoftware("v1")
					f.returnStore(copied)
					nodes := make([]int, restarted)
					for i := range nodes {
						nodes[i] = n - 1 - i
					}
					f.restart(nodes...)
					for step := range 120 {
						a := f.resolve(step%n, step%40)
						assert.Assert(t, a.Verdict != origin.GoesOn || a.Software == "v2", "after %d steps at %s", step, a.Software)
						f.step(1)
					}
				})
			})
		}
	}
}

// While a service has one version, its streams go on without a record again soon after the store's return.
func TestStreamsOfTheOnlyVersionGoOnAfterAnEra(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newEraFleet(t, 7)
		f.returnStore(f.copyStore())
		f.hearOfEra()
		f.step(100)
		assert.Equal(t, f.resolve(2, 1).Verdict, origin.GoesOn)
		f.restart(0, 1, 2, 3, 4, 5, 6)
		f.step(10)
		assert.Equal(t, f.resolve(2, 1).Verdict, origin.GoesOn, "the list was confirmed before all nodes started anew")
		f.returnStore(f.copyStore())
		f.restart(0, 1, 2, 3, 4, 5, 6)
		f.step(10)
		assert.Equal(t, f.resolve(2, 1).Verdict, origin.Unknown, "no node knows what the list lacks")
		time.Sleep(origin.MaxLifetime)
		f.step(100)
		assert.Equal(t, f.resolve(2, 1).Verdict, origin.GoesOn, "no stream from before can be taken up")
	})
}

// All nodes read the lists and few write them when an era begins.
func TestCostOfAnEra(t *testing.T) {
	for _, n := range []int{7, 71, 295, 900} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newEraFleet(t, n)
				f.counts()
				f.returnStore(f.copyStore())
				f.hearOfEra()
				f.step(100)
				reads, writes := f.counts()
				t.Logf("%d nodes: %d reads, %d writes in 10 s", n, reads, writes)
				assert.Assert(t, writes <= 3, "%d writes", writes)
				assert.Assert(t, reads <= 2*n+20, "%d reads", reads)
				for i := range f.list {
					assert.Equal(t, f.resolve(i, 1).Verdict, origin.GoesOn)
				}
			})
		})
	}
}
