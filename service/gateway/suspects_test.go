package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/drumpath/drumpath/pkg/control"
	"github.com/drumpath/drumpath/pkg/site"
	"github.com/drumpath/drumpath/pkg/suspect"
)

// suspectFleet is nodes that tell each other of suspects by notes that come late or not at
// all, in virtual time.
type suspectFleet struct {
	nodes  []*suspects
	byPeer map[netip.AddrPort]*suspects
	late   func() time.Duration
	rnd    *rand.Rand

	mu    sync.Mutex
	cut   map[string]bool // Nodes that nobody hears and that hear nobody.
	bytes map[string]int  // Received, by node.
	ended []time.Time
	sent  []time.Time
}

const lostNotes = 0.02

func newSuspectFleet(n, halls int, late func() time.Duration) *suspectFleet {
	f := &suspectFleet{
		byPeer: map[netip.AddrPort]*suspects{},
		late:   late,
		rnd:    rand.New(rand.NewPCG(uint64(n), 7)),
		cut:    map[string]bool{},
		bytes:  map[string]int{},
	}
	var list []control.Member
	for i := range n {
		list = append(list, control.Member{
			Name: fmt.Sprint("n", i), DataHall: fmt.Sprint("h", i%halls), Incarnation: 1,
			Peer: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, byte(i / 250), byte(1 + i%250)}), 1),
		})
	}
	members := control.NewMembers(list[0], time.Second, nil, f.rnd)
	members.Merge(list[1:], time.Now())
	for _, m := range list {
		f.add(m, members)
	}
	return f
}

func (f *suspectFleet) add(m control.Member, members *control.Members) *suspects {
	s := newSuspects(m, members, nil, nil, slog.New(slog.DiscardHandler))
	s.notes = &lateNotes{nodes: &nodes{self: m, members: members}, f: f}
	s.client = &lateCalls{f: f, from: m.Name}
	f.nodes = append(f.nodes, s)
	f.byPeer[m.Peer] = s
	return s
}

// apart says whether two nodes don't hear each other.
func (f *suspectFleet) apart(a, b string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.cut[a] != f.cut[b] || f.cut[a] && a != b
}

func (f *suspectFleet) chance() float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.rnd.Float64()
}

// lateNotes delivers notes late.
type lateNotes struct {
	*nodes
	f *suspectFleet
}

func (l *lateNotes) note(to []netip.AddrPort, method string, params any) (sent int) {
	body, err := json.Marshal(params)
	if err != nil || len(body) > 16<<10 {
		panic(fmt.Sprint(len(body), " bytes ", err))
	}
	for _, addr := range to {
		s := l.f.byPeer[addr]
		l.f.mu.Lock()
		l.f.bytes[s.self.Name] += len(body)
		l.f.mu.Unlock()
		if l.f.chance() < lostNotes || l.f.apart(l.self.Name, s.self.Name) {
			continue
		}
		time.AfterFunc(l.f.late(), func() {
			if method == noteDigest {
				s.compare(body)
			} else {
				s.hear(body)
			}
		})
	}
	return len(body) * len(to)
}

type lateCalls struct {
	f    *suspectFleet
	from string
}

func (l *lateCalls) CallWithin(ctx context.Context, within time.Duration, addr netip.AddrPort, _ string, params, result any) error {
	s := l.f.byPeer[addr]
	if l.f.apart(l.from, s.self.Name) {
		time.Sleep(within)
		return errors.New("silent")
	}
	time.Sleep(5 * time.Millisecond)
	body, err := json.Marshal(params)
	if err != nil {
		return err
	}
	a, err := s.serveRun(ctx, body)
	*result.(*runAnswer) = a.(runAnswer)
	return err
}

func (l *lateCalls) Notify(ctx context.Context, addr netip.AddrPort, _ string, params any) error {
	s := l.f.byPeer[addr]
	if l.f.apart(l.from, s.self.Name) {
		return errors.New("silent")
	}
	body, err := json.Marshal(params)
	if err != nil {
		return err
	}
	_, err = s.serveOver(ctx, body)
	return err
}

var deadlyContent = site.NewFingerprint("org-one", "POST", "h", "/x", []byte("deadly"))

// run has a request that ends its replica after 0.1 s come to a node.
func (f *suspectFleet) run(s *suspects) {
	c := s.register.Case(deadlyContent)
	switch c.Verdict() {
	case suspect.Barred:
		return
	case suspect.Watched:
		if !s.mayRun(context.Background(), deadlyContent, 4*time.Second) {
			return
		}
	}
	begun := time.Now()
	f.mu.Lock()
	f.sent = append(f.sent, begun)
	life := fmt.Sprint("replica", len(f.sent))
	f.mu.Unlock()
	time.Sleep(100 * time.Millisecond)
	now := time.Now()
	f.mu.Lock()
	f.ended = append(f.ended, now)
	f.mu.Unlock()
	s.ended(lostRun{content: deadlyContent, sketch: 1, replica: life, life: life, begun: begun, at: now}, now)
}

// repeat sends it at any node again and again, several at once, and lets time pass.
func (f *suspectFleet) repeat(every, d time.Duration, at []*suspects) {
	var wg sync.WaitGroup
	begun := time.Now()
	for next := begun; time.Since(begun) < d; next = next.Add(every) {
		time.Sleep(time.Until(next))
		f.mu.Lock()
		s := at[f.rnd.IntN(len(at))]
		f.mu.Unlock()
		wg.Go(func() { f.run(s) })
	}
	wg.Wait()
}

// steps has each node compare what it holds with another's, each second.
func (f *suspectFleet) steps(ctx context.Context) {
	for _, s := range f.nodes {
		go func() {
			time.Sleep(rand.N(suspectsEvery))
			for ctx.Err() == nil {
				s.step(ctx)
				time.Sleep(suspectsEvery)
			}
		}()
	}
}

// later counts what was sent later than a time after the third end.
func (f *suspectFleet) later(d time.Duration) (n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, at := range f.sent {
		if len(f.ended) > 2 && at.After(f.ended[2].Add(d)) {
			n++
		}
	}
	return n
}

// contact is within what operators allow a few more runs.
const contact = 3 * time.Second

// One request that ends its replicas is repeated at any node four times a second while
// news come 5 ms late, or 0.1 to 1.3 s, with one note of fifty lost.
func TestRepeatsAreStoppedAtAllSizes(t *testing.T) {
	soon := func() time.Duration { return 5 * time.Millisecond }
	late := func() time.Duration { return 100*time.Millisecond + rand.N(1200*time.Millisecond) }
	for _, size := range []struct{ nodes, halls int }{{7, 3}, {71, 3}, {295, 5}, {900, 7}} {
		for name, l := range map[string]func() time.Duration{"soon": soon, "late": late} {
			t.Run(fmt.Sprint(size.nodes, " nodes, ", name), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					ctx, cancel := context.WithCancel(t.Context())
					f := newSuspectFleet(size.nodes, size.halls, l)
					f.steps(ctx)
					f.repeat(250*time.Millisecond, 12*time.Second, f.nodes)
					cancel()
					time.Sleep(5 * time.Second)
					t.Logf("%d replicas ended, %d runs later than %v", len(f.ended), f.later(contact), contact)
					assert.Equal(t, f.later(contact), 0)
					most := 3
					if name == "late" {
						most = 14 // Those sent while two notes in a row, of an end and of the bar, were under way.
					}
					assert.Assert(t, len(f.ended) <= most, "%d replicas ended", len(f.ended))
				})
			})
		}
	}
}

// Nodes that were cut off from all others while a request was barred have heard of it
// within the time that operators give them once they are back.
func TestNodesThatWereCutOffHearOfABar(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		late := func() time.Duration { return 5*time.Millisecond + rand.N(200*time.Millisecond) }
		f := newSuspectFleet(71, 3, late)
		f.steps(ctx)
		away := f.nodes[:20]
		for _, s := range away {
			f.cut[s.self.Name] = true
		}
		f.repeat(250*time.Millisecond, 3*time.Second, f.nodes[20:])
		ended := len(f.ended)
		f.mu.Lock()
		clear(f.cut)
		f.mu.Unlock()
		time.Sleep(contact)
		f.repeat(50*time.Millisecond, 3*time.Second, away)
		cancel()
		time.Sleep(2 * time.Second)
		assert.Assert(t, ended >= 3 && ended <= 6, "%d replicas ended", ended)
		assert.Equal(t, len(f.ended), ended)
	})
}

// A hall's replicas end at one moment, each with requests in flight: what nodes are told
// stays small.
func TestMassEndIsToldInFewBytes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newSuspectFleet(900, 7, func() time.Duration { return 5 * time.Millisecond })
		now := time.Now()
		const replicas, each = 100, 12
		for r := range replicas {
			for i := range each {
				c := site.NewFingerprint("", "POST", "h", "/x", fmt.Appendf(nil, "%d %d", r, i))
				life := fmt.Sprint("replica", r)
				f.nodes[rand.IntN(len(f.nodes))].ended(lostRun{content: c, sketch: 1, replica: life, life: life, begun: now, at: now}, now)
			}
		}
		time.Sleep(time.Second)
		f.mu.Lock()
		defer f.mu.Unlock()
		sum, most := 0, 0
		for _, n := range f.bytes {
			sum += n
			most = max(most, n)
		}
		t.Logf("%d bytes a node, %d at most", sum/len(f.nodes), most)
		assert.Assert(t, sum/len(f.nodes) < 2000)
	})
}

// A request that some nodes have finished is in flight where replicas end; nodes that have
// not seen it finished suspect it, and the others say so.
func TestFinishElsewhereClearsARequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newSuspectFleet(295, 5, func() time.Duration { return 5 * time.Millisecond })
		sketch := uint64(99)
		for _, s := range f.nodes[100:140] {
			s.register.Finished(sketch, time.Now())
		}
		now := time.Now()
		for i, s := range f.nodes[:3] {
			life := fmt.Sprint("replica", i)
			s.ended(lostRun{content: deadlyContent, sketch: sketch, replica: life, life: life, begun: now, at: now}, now)
		}
		time.Sleep(2 * time.Second)
		for _, s := range f.nodes {
			c := s.register.Case(deadlyContent)
			assert.Equal(t, c.Verdict(), suspect.Free, "%s", s.self.Name)
		}
	})
}

// A node whose own way is cut sees every replica silent: that is no sign of their end, nor
// is one that takes a connection again.
func TestOnlyAnEndCounts(t *testing.T) {
	f := newSuspectFleet(3, 1, func() time.Duration { return 0 })
	s := f.nodes[0]
	now := time.Now()
	lost := func(name string, alive bool) lostRun {
		c := site.NewFingerprint("", "POST", "h", "/x", []byte(name))
		return lostRun{content: c, sketch: 1, replica: name, life: name, begun: now, at: now, alive: alive}
	}
	ends := func(name string) int { return len(s.register.Case(lost(name, false).content).Ends) }
	for _, name := range []string{"silent", "refused", "dropped", "restarted", "old"} {
		s.remember(lost(name, false))
	}
	s.remember(lost("alive", true))
	s.remember(lost("alive, restarted", true))
	s.refused(&site.Upstream{ID: "refused"}, now.Add(time.Second))
	s.refused(&site.Upstream{ID: "alive"}, now.Add(time.Second))
	s.dropped("dropped", now.Add(4*time.Second))
	s.dropped("alive", now.Add(4*time.Second))
	s.restarted("restarted", now.Add(4*time.Second))
	s.restarted("alive, restarted", now.Add(4*time.Second))
	s.dropped("old", now.Add(11*time.Second))
	for name, want := range map[string]int{
		"silent": 0, "refused": 1, "dropped": 1, "restarted": 1, "alive": 0, "alive, restarted": 1, "old": 0,
	} {
		assert.Equal(t, ends(name), want, name)
	}
	assert.Equal(t, len(s.lost), 0, "what is old is forgotten")
}

// A replica that loses power answers nothing more. Its entry may lapse before a patient
// caller's time is over, and the answer be given up only then.
func TestEndThatIsListedBeforeTheAnswerIsGivenUpCounts(t *testing.T) {
	f := newSuspectFleet(1, 1, func() time.Duration { return 0 })
	s := f.nodes[0]
	now := time.Now()
	lost := func(name string, begun time.Time) lostRun {
		c := site.NewFingerprint("", "POST", "h", "/x", []byte(name))
		return lostRun{content: c, sketch: 1, replica: name, life: name, begun: begun, at: now.Add(4 * time.Second)}
	}
	ends := func(name string) int { return len(s.register.Case(lost(name, now).content).Ends) }
	s.dropped("dropped", now.Add(3600*time.Millisecond))
	s.restarted("restarted", now.Add(3600*time.Millisecond))
	s.restarted("before", now.Add(-time.Second))
	s.dropped("long ago", now.Add(-7*time.Second))
	for _, name := range []string{"dropped", "restarted", "before", "long ago"} {
		s.remember(lost(name, now))
	}
	for name, want := range map[string]int{"dropped": 1, "restarted": 1, "before": 0, "long ago": 0} {
		assert.Equal(t, ends(name), want, name)
	}
}

// Barred requests are in the store for nodes that all start anew.
func TestBarredRequestsAreKept(t *testing.T) {
	f := newSuspectFleet(1, 1, func() time.Duration { return 0 })
	s := f.nodes[0]
	store := &keptStore{}
	s.store = store
	now := time.Now()
	s.keep(t.Context())
	assert.Equal(t, store.writes, 0)
	for i := range 3 {
		life := fmt.Sprint("replica", i)
		s.register.Merge(suspect.Case{Content: deadlyContent, Sketch: 1, Ends: []suspect.End{
			{Replica: life, Begun: now.Add(time.Duration(i)*time.Second - time.Minute), At: now.Add(time.Duration(i)*time.Second - 59500*time.Millisecond)},
		}})
	}
	store.fail = true
	s.keep(t.Context())
	s.keep(t.Context())
	assert.Equal(t, store.lists, 1, "a store that fails is not asked at each look")
	store.fail = false
	s.keepNext = time.Time{}
	s.keep(t.Context())
	s.keep(t.Context())
	assert.Equal(t, store.writes, 1)
	other := newSuspectFleet(1, 1, func() time.Duration { return 0 }).nodes[0]
	other.load(site.Row{Key: rowBarred, Value: []byte("no JSON")}, time.Now())
	assert.Assert(t, other.register.Empty())
	other.load(store.row, time.Now())
	c := other.register.Case(deadlyContent)
	assert.Equal(t, c.Verdict(), suspect.Barred)
	other.store = store
	other.keep(t.Context())
	assert.Equal(t, store.writes, 1, "it stands there")
	other.register.Expire(time.Now().Add(58 * time.Minute))
	assert.Assert(t, !other.register.Empty())
	other.register.Expire(time.Now().Add(61 * time.Minute))
	assert.Assert(t, other.register.Empty(), "an entry is as old as it is")
}

// keptStore is a store of one row.
type keptStore struct {
	Store
	fail          bool
	lists, writes int
	row           site.Row
}

func (k *keptStore) List(context.Context, site.Table) (l site.Listing, err error) {
	k.lists++
	if k.fail {
		return l, errors.New("away")
	}
	if k.row.Key != "" {
		l.Rows = []site.Row{k.row}
	}
	return l, nil
}

func (k *keptStore) Put(_ context.Context, _ site.Table, key string, value []byte, expected int64) (l site.Listing, err error) {
	if expected != k.row.Version {
		return l, site.ErrConflict
	}
	k.writes++
	k.row = site.Row{Key: key, Value: value, Version: k.row.Version + 1}
	return l, nil
}
