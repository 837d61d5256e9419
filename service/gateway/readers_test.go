package gateway

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/drumpath/drumpath/internal/netproxy"
	"github.com/drumpath/drumpath/pkg/control"
	"github.com/drumpath/drumpath/pkg/site"
	"github.com/drumpath/drumpath/platform"
	"github.com/drumpath/drumpath/service/peer"
)

// tableStore is the platform's store with one table that grows.
type tableStore struct {
	mu      sync.Mutex
	rows    []site.Row
	version int64
	history int64 // Changes up to here are no longer told.
	calls   int
	fail    bool
}

func (s *tableStore) add(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.rows = append(s.rows, site.Row{Key: key, Version: s.version, Value: []byte(key)})
}

func (s *tableStore) List(context.Context, site.Table) (site.Listing, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if s.fail {
		return site.Listing{}, fmt.Errorf("down")
	}
	return site.Listing{Rows: append([]site.Row(nil), s.rows...), Version: s.version}, nil
}

func (s *tableStore) Changes(_ context.Context, _ site.Table, after int64, _ time.Duration) (site.Listing, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if s.fail {
		return site.Listing{}, fmt.Errorf("down")
	}
	if after < s.history {
		return site.Listing{}, site.ErrHistoryGone
	}
	l := site.Listing{Version: s.version}
	for _, r := range s.rows {
		if r.Version > after {
			l.Rows = append(l.Rows, r)
		}
	}
	return l, nil
}

func (s *tableStore) Put(context.Context, site.Table, string, []byte, int64) (site.Listing, error) {
	return site.Listing{}, nil
}
func (s *tableStore) Announce(context.Context, site.Table, string, []byte) error { return nil }
func (s *tableStore) LastLargeResponse() time.Time                               { return time.Time{} }
func (s *tableStore) Close()                                                     {}

func (s *tableStore) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// testHall is the nodes of one hall, of which two are real: one that reads a table
// and one that asks it.
type testHall struct {
	store         *tableStore
	reader, asker *readers
	server        *peer.Server
	way           *netproxy.Proxy // To the reader.
}

func newTestHall(t *testing.T) *testHall {
	log := slog.New(slog.DiscardHandler)
	server, err := peer.NewServer(netip.MustParseAddrPort("127.0.0.1:0"), map[peer.Role]string{peer.RolePeer: "key"}, log)
	assert.NilError(t, err)
	way, err := netproxy.New(server.Addr())
	assert.NilError(t, err)
	client := peer.NewClient("key")
	var list []control.Member
	for i := range directMost + 2 {
		list = append(list, control.Member{Name: fmt.Sprintf("n%d", i), DataHall: "h", Peer: netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(1000+i)), Incarnation: 1})
	}
	owner, ok := control.Owner(list, readDuty+tableName(site.TableUpstreams))
	assert.Assert(t, ok)
	asker := control.Member{}
	for i := range list {
		if list[i].Name == owner.Name {
			list[i].Peer = way.Addr()
			owner = list[i]
		} else {
			asker = list[i]
		}
	}
	members := func(self control.Member) *control.Members {
		m := control.NewMembers(self, time.Second, nil, rand.New(rand.NewPCG(1, 2)))
		m.Merge(list, time.Now())
		return m
	}
	store := &tableStore{}
	h := &testHall{
		store:  store,
		reader: newReaders(store, owner, members(owner), client, log),
		asker:  newReaders(store, asker, members(asker), client, log),
		server: server,
		way:    way,
	}
	server.Handle(peer.RolePeer, methodChanges, h.reader.serve)
	server.Start()
	t.Cleanup(func() {
		client.Close()
		way.Close()
		server.Close()
	})
	return h
}

// trust has the asker no longer do without its hall's reader.
func (h *testHall) trust() {
	h.asker.mu.Lock()
	defer h.asker.mu.Unlock()
	clear(h.asker.doubted)
}

// doubt has the asker do without its hall's reader.
func (h *testHall) doubt() {
	h.asker.doubt(site.TableUpstreams, h.way.Addr(), time.Now(), errReaderBehind)
}

// age has the reader not have heard from the store for long.
func (h *testHall) age() {
	h.reader.mu.Lock()
	defer h.reader.mu.Unlock()
	h.reader.tables[site.TableUpstreams].heard = time.Now().Add(-2 * readerAge)
}

// read has the reader hear from the store.
func (h *testHall) read(t *testing.T) {
	t.Helper()
	_, err := h.reader.List(t.Context(), site.TableUpstreams)
	assert.NilError(t, err)
}

func TestOthersOfTheHallAskTheReader(t *testing.T) {
	h := newTestHall(t)
	h.store.add("a")
	h.read(t)
	before := h.store.count()
	l, err := h.asker.List(t.Context(), site.TableUpstreams)
	assert.NilError(t, err)
	assert.Equal(t, len(l.Rows), 1)
	assert.Equal(t, h.store.count(), before, "the store was not asked")
	done := make(chan site.Listing, 1)
	go func() {
		l, err := h.asker.Changes(context.Background(), site.TableUpstreams, l.Version, time.Second)
		assert.Check(t, err == nil)
		done <- l
	}()
	h.store.add("b")
	_, err = h.reader.Changes(t.Context(), site.TableUpstreams, l.Version, time.Second)
	assert.NilError(t, err)
	got := <-done
	assert.Equal(t, got.Rows[len(got.Rows)-1].Key, "b")
}

// A reader that does not reach the store itself any more is not trusted.
func TestReaderThatIsBehindIsNotTrusted(t *testing.T) {
	h := newTestHall(t)
	h.store.add("a")
	h.read(t)
	h.reader.store = &tableStore{fail: true}
	h.age()
	h.store.add("b")
	l, err := h.asker.List(t.Context(), site.TableUpstreams)
	assert.NilError(t, err)
	assert.Equal(t, len(l.Rows), 2, "the store itself was asked")
	before := h.store.count()
	_, err = h.asker.List(t.Context(), site.TableUpstreams)
	assert.NilError(t, err)
	assert.Equal(t, h.store.count(), before+1, "and is for a while")
}

// A node that is asked though it has not heard from the store lately, as another was
// the reader until now, asks the store for all of them.
func TestNodeThatIsAskedReadsTheStoreOnceForAll(t *testing.T) {
	h := newTestHall(t)
	h.store.add("a")
	h.read(t)
	h.age()
	h.store.add("b")
	h.readOnceForAll(t, 1)
	h.age()
	h.store.add("c")
	h.store.mu.Lock()
	h.store.history = h.store.version
	h.store.mu.Unlock()
	h.readOnceForAll(t, 2) // The changes since then, and the whole.
}

// readOnceForAll has several nodes read all rows at once, for so many calls to the
// store.
func (h *testHall) readOnceForAll(t *testing.T, calls int) {
	t.Helper()
	before := h.store.count()
	var wg sync.WaitGroup
	for range 8 {
		wg.Go(func() {
			l, err := h.asker.List(t.Context(), site.TableUpstreams)
			assert.Check(t, err == nil && len(l.Rows) == len(h.store.rows), "%v", err)
		})
	}
	wg.Wait()
	assert.Equal(t, h.store.count(), before+calls)
}

func TestReaderThatIsGoneIsDoneWithout(t *testing.T) {
	h := newTestHall(t)
	h.store.add("a")
	h.read(t)
	h.server.Close()
	l, err := h.asker.List(t.Context(), site.TableUpstreams)
	assert.NilError(t, err)
	assert.Equal(t, len(l.Rows), 1)
}

func TestReaderThatHasReadNothingAnswersNobody(t *testing.T) {
	h := newTestHall(t)
	h.store.add("a")
	l, err := h.asker.List(t.Context(), site.TableUpstreams)
	assert.NilError(t, err)
	assert.Equal(t, len(l.Rows), 1)
}

func TestChangesBeforeTheReadersStartAreNotMadeUp(t *testing.T) {
	h := newTestHall(t)
	h.store.add("a")
	h.store.add("b")
	h.read(t)
	_, err := h.asker.Changes(t.Context(), site.TableUpstreams, 1, 10*time.Millisecond)
	assert.ErrorIs(t, err, site.ErrHistoryGone)
}

// fleetReaders are the readers of a fleet of so many nodes in so many halls, by name.
func fleetReaders(count, halls int) map[string]*readers {
	var list []control.Member
	for i := range count {
		list = append(list, control.Member{
			Name: fmt.Sprint("n", i), DataHall: fmt.Sprint("h", i%halls), Incarnation: 1,
			Peer: netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(1000+i)),
		})
	}
	fleet := map[string]*readers{}
	for _, self := range list {
		m := control.NewMembers(self, time.Second, nil, rand.New(rand.NewPCG(1, 2)))
		m.Merge(list, time.Now())
		fleet[self.Name] = newReaders(&tableStore{}, self, m, nil, slog.New(slog.DiscardHandler))
	}
	return fleet
}

func TestFewNodesReadForThemselves(t *testing.T) {
	for count := 1; count <= directMost; count++ {
		for _, r := range fleetReaders(count, 2) {
			_, ok := r.reader(site.TableUpstreams)
			assert.Assert(t, !ok)
			assert.Assert(t, !r.mayBeAsked(), "nobody is kept waiting for it")
		}
	}
}

// Calls to the store were four tenths of what 18 nodes in 5 halls paid, when halls of up
// to four nodes had no reader. Now one node of all reads each table for them, and in large
// halls one of each hall.
func TestOneNodeReadsForSmallHallsAndOneForEachLargeOne(t *testing.T) {
	for _, c := range []struct{ nodes, halls, readers int }{{5, 3, 1}, {7, 3, 1}, {9, 3, 1}, {18, 5, 1}, {20, 5, 1}, {25, 5, 5}, {59, 3, 3}, {295, 5, 5}} {
		for _, table := range []site.Table{site.TableOperator, site.TableUpstreams} {
			direct := map[string]bool{}
			asked := map[netip.AddrPort]int{}
			for name, r := range fleetReaders(c.nodes, c.halls) {
				if addr, ok := r.reader(table); ok {
					asked[addr]++
				} else {
					direct[name] = true
				}
			}
			assert.Equal(t, len(direct), c.readers, "%d nodes in %d halls", c.nodes, c.halls)
			assert.Equal(t, len(asked), c.readers)
		}
	}
}

// A store that has dropped its history may answer with a table as it was before:
// nodes that ask the reader must not miss what it had heard meanwhile. Found by the
// soak, seed 129.
func TestReaderPassesOnNothingOlder(t *testing.T) {
	h := newTestHall(t)
	h.store.add("a")
	h.read(t)
	h.store.add("a") // Anew.
	_, err := h.reader.Changes(t.Context(), site.TableUpstreams, 1, 0)
	assert.NilError(t, err)
	h.store.mu.Lock()
	rows, version := h.store.rows, h.store.version
	h.store.rows, h.store.version = rows[:1], 1
	h.store.mu.Unlock()
	_, err = h.reader.List(t.Context(), site.TableUpstreams)
	assert.NilError(t, err)
	h.store.mu.Lock()
	h.store.rows, h.store.version = rows, version
	h.store.mu.Unlock()
	l, err := h.asker.Changes(t.Context(), site.TableUpstreams, 1, 10*time.Millisecond)
	assert.NilError(t, err)
	assert.Equal(t, len(l.Rows), 1, "version %d without its row", l.Version)
	assert.Equal(t, l.Rows[0].Version, int64(2))
}

// A node that heard of a change from another tells it on when it reads the store
// again, though the store does not tell it once more. Found by the soak, seed 129.
func TestWhatOthersToldIsPassedOn(t *testing.T) {
	h := newTestHall(t)
	h.store.add("a")
	h.read(t)
	h.store.add("b")
	_, err := h.reader.Changes(t.Context(), site.TableUpstreams, 1, 0)
	assert.NilError(t, err)
	_, err = h.asker.List(t.Context(), site.TableUpstreams)
	assert.NilError(t, err)
	h.store.add("c")
	_, err = h.reader.Changes(t.Context(), site.TableUpstreams, 2, 0)
	assert.NilError(t, err)
	l, err := h.asker.Changes(t.Context(), site.TableUpstreams, 2, 0)
	assert.NilError(t, err)
	assert.Equal(t, l.Rows[0].Key, "c")
	h.doubt() // It reads the store itself from now on.
	h.store.add("d")
	_, err = h.asker.Changes(t.Context(), site.TableUpstreams, l.Version, 0)
	assert.NilError(t, err)
	a, _, _, err := h.asker.answer(changesRequest{Table: site.TableUpstreams, After: 2})
	assert.NilError(t, err)
	assert.Equal(t, a.Version, int64(4))
	rows, err := a.Rows.unpack(nil)
	assert.NilError(t, err)
	assert.Equal(t, len(rows), 2, "c and d")
}

// An answer that another has overtaken does not take its rows back.
func TestOvertakenAnswerTakesNothingBack(t *testing.T) {
	h := newTestHall(t)
	h.store.add("a")
	h.read(t)
	q := changesRequest{Table: site.TableUpstreams, After: 1}
	row := func(version int64) site.Listing {
		return site.Listing{Rows: []site.Row{{Key: "a", Version: version}}, Version: version}
	}
	h.reader.take(q, row(3), true)
	h.reader.take(q, row(2), true)
	a, _, _, err := h.reader.answer(changesRequest{Table: site.TableUpstreams, After: 2})
	assert.NilError(t, err)
	rows, err := a.Rows.unpack(nil)
	assert.NilError(t, err)
	assert.DeepEqual(t, rows, row(3).Rows)
}

// Where changes were missed, nothing is told on until the whole table is read.
func TestGapsAreNotPassedOn(t *testing.T) {
	h := newTestHall(t)
	h.store.add("a")
	h.read(t)
	h.reader.take(changesRequest{Table: site.TableUpstreams, After: 5}, site.Listing{Version: 6}, true)
	_, _, _, err := h.reader.answer(changesRequest{Table: site.TableUpstreams, After: 1})
	assert.ErrorIs(t, err, errReaderBehind)
	h.read(t)
}

// A node that the store turns away hears from others what they have heard.
func TestNodeThatTheStoreTurnsAwayAsksOthers(t *testing.T) {
	h := newTestHall(t)
	h.store.add("a")
	h.read(t)
	away := &tableStore{fail: true}
	h.asker.store = away
	var logged bytes.Buffer
	h.asker.log = slog.New(slog.NewTextHandler(&logged, nil))
	h.doubt() // Its hall's reader has failed it.
	others := func() {
		// All others of the hall answer at the address of the one that is real.
		var list []control.Member
		for _, m := range h.asker.members.All() {
			if m.Name != h.asker.self.Name {
				m.Peer, m.Incarnation = h.way.Addr(), m.Incarnation+1
				list = append(list, m)
			}
		}
		h.asker.members.Merge(list, time.Now())
	}
	others()
	l, err := h.asker.List(t.Context(), site.TableUpstreams)
	assert.NilError(t, err)
	assert.Equal(t, len(l.Rows), 1)
	h.store.add("b")
	_, err = h.reader.Changes(t.Context(), site.TableUpstreams, l.Version, 0)
	assert.NilError(t, err)
	calls := away.count()
	l, err = h.asker.Changes(t.Context(), site.TableUpstreams, l.Version, time.Second)
	assert.NilError(t, err)
	assert.Equal(t, l.Rows[0].Key, "b")
	assert.Equal(t, away.count(), calls, "the store is left alone for a while")
	h.asker.mu.Lock()
	d := h.asker.detours[site.TableUpstreams]
	d.until = time.Time{}
	h.asker.detours[site.TableUpstreams] = d
	h.asker.mu.Unlock()
	away.mu.Lock()
	away.fail, away.version, away.rows = false, l.Version, nil
	away.mu.Unlock()
	_, err = h.asker.Changes(t.Context(), site.TableUpstreams, l.Version, 0)
	assert.NilError(t, err)
	assert.Assert(t, away.count() > calls, "and then tried again")
	assert.Assert(t, !h.asker.missing(site.TableUpstreams))
	assert.Equal(t, strings.Count(logged.String(), "store not reached"), 1, "one line for the loss")
	assert.Equal(t, strings.Count(logged.String(), "store reached again"), 1, "and one for the return")
}

// With the store away from all, no node passes on what it heard long ago.
func TestOldKnowledgeIsNotPassedOn(t *testing.T) {
	h := newTestHall(t)
	h.read(t)
	h.reader.mu.Lock()
	h.reader.tables[site.TableUpstreams].heard = time.Now().Add(-detourAge - time.Second)
	h.reader.mu.Unlock()
	h.asker.store = &tableStore{fail: true}
	h.reader.store = h.asker.store
	h.doubt()
	_, err := h.asker.List(t.Context(), site.TableUpstreams)
	assert.ErrorContains(t, err, "down")
}

// What is told to a whole hall is more than a narrow link carries: a configuration
// of some 60 kB for 20 nodes holds one of 10 Mbit/s up for a second.
func TestDutiesThatSendMuchFallToWideLinks(t *testing.T) {
	wide := control.Member{Name: "wide", DataHall: "h", Incarnation: 1, Link: 200, Peer: netip.MustParseAddrPort("127.0.0.1:1")}
	self := control.Member{Name: "n0", DataHall: "h", Incarnation: 1, Link: 10}
	m := control.NewMembers(self, time.Second, nil, rand.New(rand.NewPCG(1, 2)))
	list := []control.Member{wide}
	for i := range 20 {
		list = append(list, control.Member{Name: fmt.Sprintf("n%d", i), DataHall: "h", Incarnation: 1, Link: 10})
	}
	m.Merge(list, time.Now())
	for _, table := range []site.Table{site.TableOperator, site.TableUpstreams} {
		reader, ok := newReaders(nil, self, m, nil, nil).reader(table)
		assert.Assert(t, ok)
		assert.Equal(t, reader, wide.Peer)
	}
	n := &nodes{self: self, members: m, loads: newLoadState()}
	assert.Equal(t, n.speakers()["h"].Name, wide.Name)
	for i := range 8 {
		store := &site.Service{Name: fmt.Sprint("s", i), Store: &site.Store{MaxWatches: 4}}
		watcher, ok := newWatchers(nil, self, m, nil).watcher(store)
		assert.Assert(t, ok)
		assert.Equal(t, watcher, wide.Peer)
	}
	wide.State = control.MemberDead
	m.Merge([]control.Member{wide}, time.Now())
	assert.Assert(t, n.speakers()["h"].Name != wide.Name, "the others take over")
}

func TestWatcherTellsWhatItHasKept(t *testing.T) {
	w := newWatchers(nil, control.Member{}, nil, nil)
	ask := func(boot, since int64) (site.CacheChanges, error) {
		params, err := json.Marshal(eventsRequest{Store: "s", Boot: boot, Since: since, WaitMS: 1})
		assert.NilError(t, err)
		a, err := w.serve(t.Context(), params)
		if err != nil {
			return site.CacheChanges{}, err
		}
		return a.(site.CacheChanges), nil
	}
	_, err := ask(0, 0)
	assert.ErrorIs(t, err, errNotWatched)
	batch := func(boot, next int64, part string) site.CacheChanges {
		return site.CacheChanges{Boot: boot, Next: next, Changes: []site.CacheChange{{Realm: "r", Part: part, Tokens: 1}}}
	}
	w.keep("s", 0, batch(1, 10, "a"))
	w.keep("s", 10, batch(1, 20, "b"))
	c, err := ask(0, 0)
	assert.NilError(t, err)
	assert.Equal(t, len(c.Changes), 2)
	assert.Equal(t, c.Next, int64(20))
	c, err = ask(1, 10)
	assert.NilError(t, err)
	assert.Equal(t, len(c.Changes), 1)
	assert.Equal(t, c.Changes[0].Part, "b")
	w.keep("s", 20, batch(2, 5, "c")) // The store has restarted.
	c, err = ask(1, 20)
	assert.NilError(t, err)
	assert.Equal(t, c.Boot, int64(2))
	assert.Equal(t, len(c.Changes), 1)
	w.mu.Lock()
	w.lose("s")
	w.mu.Unlock()
	_, err = ask(2, 5)
	assert.ErrorIs(t, err, errNotWatched, "a store that its watcher does not hear is not told of")
}

// cutOffIn is within what time a node has to know of a change though its reader is cut
// off, or all that read for it are frozen: a site of a few nodes has a change in force
// within 2 s. receivedIn is that while a reader receives for long, which takes links as
// narrow and configurations as large as larger sites have: the rest of inForceWithin is
// for putting it in force.
const (
	cutOffIn   = 1900 * time.Millisecond
	receivedIn = 2600 * time.Millisecond
)

// hears returns how long the asker takes to hear of a change that the store has now.
func (h *testHall) hears(t *testing.T, after int64) time.Duration {
	t.Helper()
	begun := time.Now()
	for {
		l, err := h.asker.Changes(t.Context(), site.TableUpstreams, after, longPollTimeout)
		if err == nil && len(l.Rows) > 0 {
			return time.Since(begun)
		}
	}
}

// known has both nodes know the one row of the store, the reader from the store itself
// and just now.
func (h *testHall) known(t *testing.T) {
	t.Helper()
	h.store.add("a")
	h.read(t)
	_, err := h.asker.List(t.Context(), site.TableUpstreams)
	assert.NilError(t, err)
	h.read(t)
}

// cutStore is the store behind a link that is cut: calls end at their limit.
type cutStore struct{ *tableStore }

// cutLimit is by how much a call's limit exceeds the time for which it is held.
const cutLimit = 700 * time.Millisecond

func (s cutStore) Changes(ctx context.Context, _ site.Table, _ int64, wait time.Duration) (site.Listing, error) {
	sleep(ctx, wait+cutLimit)
	return site.Listing{}, fmt.Errorf("timeout")
}

// Symptom: nodes of a hall had a change 3.0 s after the store and later, where 3 s are
// allowed for it to be in force.
// Sequence: the hall's reader lost its link to the store, and not those to the hall. Its
// calls to the store went on until their limits, one after the other, and it answered
// the hall meanwhile that it had heard of nothing.
// Cause: while a reader's own call was under way, its knowledge counted as no older than
// at the call's beginning, for 3.5 s and whether anything came or not; a node that asked
// was held for a second more each time.
// What settled it: with nothing but such calls under way, the change was heard of after
// 4.0 s.
func TestReaderThatIsCutOffIsPassedOverInTime(t *testing.T) {
	t.Parallel()
	h := newTestHall(t)
	h.known(t)
	h.reader.store = cutStore{h.store}
	go func() {
		for t.Context().Err() == nil {
			_, _ = h.reader.own(t.Context(), changesRequest{Table: site.TableUpstreams, After: 1}, readerHold) // It fails.
		}
	}()
	time.Sleep(20 * time.Millisecond) // The first call is under way.
	h.store.add("b")
	took := h.hears(t, 1)
	t.Logf("heard after %v", took)
	assert.Assert(t, took < cutOffIn, "%v", took)
}

// squeezedStore is the store behind a link that carries little: a large answer has begun
// and goes on coming.
type squeezedStore struct {
	*tableStore
	large time.Time
}

func (s squeezedStore) LastLargeResponse() time.Time { return s.large }

func (s squeezedStore) Changes(ctx context.Context, _ site.Table, _ int64, _ time.Duration) (site.Listing, error) {
	<-ctx.Done()
	return site.Listing{}, ctx.Err()
}

// Symptom: nodes of a hall had a change 4.0 s after the store.
// Sequence: the hall's reader was receiving the store's answer over a link that carried
// less than usual; the hall waited for it though their own links were free.
// Cause: a reader's call to the store was waited for for 3.5 s, which leaves no time to
// ask another.
// What settled it: with nothing but a call that never ended under way, the change was
// heard of after 4.0 s.
func TestReaderThatReceivesForLongIsPassedOverInTime(t *testing.T) {
	t.Parallel()
	h := newTestHall(t)
	h.known(t)
	h.reader.store = squeezedStore{h.store, time.Now().Add(50 * time.Millisecond)}
	go func() {
		_, _ = h.reader.own(t.Context(), changesRequest{Table: site.TableUpstreams, After: 1}, readerHold) // It never ends.
	}()
	time.Sleep(50 * time.Millisecond) // The call is under way.
	h.store.add("b")
	took := h.hears(t, 1)
	t.Logf("heard after %v", took)
	assert.Assert(t, took < receivedIn, "%v", took)
}

// Symptom: a node that had lost the store or its reader once never had a large change
// again; its link was full meanwhile, 18 MB in 15 s for an answer of 2 MB.
// Sequence: its follower's call had failed. The next one, to a node of its hall, was
// ended before the answer was whole, which counted as a failure; so on from there.
// Cause: a call after a failed one had a limit on the whole, of 0.6 to 1.3 s, which a
// large answer over a link of 10 Mbit/s takes alone.
// What settled it: with the follower's last call noted as failed and nothing else out of
// order, the answer did not come.
func TestLargeAnswerComesToAFollowerThatHasFailed(t *testing.T) {
	t.Parallel()
	const (
		size = 500_000 // Bytes; 1.3 s of the link as they are encoded.
		mbit = 4
	)
	h := newTestHall(t)
	l := newLinks()
	defer l.Close()
	near := newLink(mbit)
	h.reachReaderAt(l.connect(t, near, nil, h.server.Addr()))
	noise := make([]byte, size)
	for i := range noise {
		noise[i] = "abcdefghijklmnopqrstuvwxyz0123456789"[rand.IntN(36)]
	}
	h.store.add("a")
	h.read(t)
	h.store.mu.Lock()
	h.store.version = 2
	h.store.rows = append(h.store.rows, site.Row{Key: "b", Version: 2, Value: noise})
	h.store.mu.Unlock()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	hear := func(after int64) {
		_, err := h.reader.own(ctx, changesRequest{Table: site.TableUpstreams, After: after}, 0)
		assert.Check(t, err == nil || ctx.Err() != nil, "%v", err)
	}
	hear(1)
	_, _, _, err := h.reader.answer(changesRequest{Table: site.TableUpstreams, After: 1}) // It is packed.
	assert.NilError(t, err)
	got := make(chan int, 1)
	f := &follower{
		store: h.asker, table: site.TableUpstreams, name: "upstreams", hold: readerHold,
		apply: func(rows []site.Row, _ bool, _ time.Time) { got <- len(rows[0].Value) },
		away:  func(time.Time) {}, heard: func(_, _ time.Time) {}, log: slog.New(slog.DiscardHandler),
		version: 1, listed: true, failed: time.Now(), retry: followRetry,
	}
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	wg.Go(func() {
		for ctx.Err() == nil { // The reader goes on hearing from the store.
			sleep(ctx, readerHold/4)
			hear(2)
		}
	})
	begun := time.Now()
	wg.Go(func() { f.run(ctx) })
	select {
	case n := <-got:
		took := time.Since(begun)
		t.Logf("came after %v, %d bytes over the link", took, near.got.Load())
		assert.Equal(t, n, size)
		assert.Assert(t, took < inForceWithin, "%v", took)
		assert.Assert(t, near.got.Load() > size, "the reader told it")
		assert.Assert(t, near.got.Load() < 2*size, "it was sent once: %d bytes", near.got.Load())
	case <-time.After(2 * inForceWithin):
		t.Fatalf("not within %v: %d bytes over the link", time.Since(begun), near.got.Load())
	}
}

// reachReaderAt has the asker reach the hall's reader at another address.
func (h *testHall) reachReaderAt(addr netip.AddrPort) {
	var list []control.Member
	for _, m := range h.asker.members.All() {
		if m.Peer == h.way.Addr() {
			m.Peer, m.Incarnation = addr, m.Incarnation+1
			list = append(list, m)
		}
	}
	h.asker.members.Merge(list, time.Now())
}

// Symptom: nodes of a hall had a change 2.8 s after the store.
// Sequence: both nodes to which the duty of reading fell were frozen; the call to each
// lasted for 1.4 s, one after the other.
// Cause: the second reader, too, was asked to hold the call for a second, though what the
// first had not told was wanted at once.
// What settled it: the time was that of two calls that are held, 1.4 s each.
func TestTwoSilentReadersAreDoneWithoutInTime(t *testing.T) {
	t.Parallel()
	h := newTestHall(t)
	l := newLinks()
	defer l.Close()
	far := newLink(wideMbit)
	var list []control.Member
	for _, m := range h.asker.members.All() {
		if m.Name != h.asker.self.Name {
			m.Peer, m.Incarnation = l.connect(t, nil, far, h.server.Addr()), m.Incarnation+1
			list = append(list, m)
		}
	}
	h.asker.members.Merge(list, time.Now())
	h.store.add("a")
	h.read(t)
	_, err := h.asker.List(t.Context(), site.TableUpstreams)
	assert.NilError(t, err)
	for _, m := range list { // The connections are up.
		_, err := h.asker.ask(t.Context(), m.Peer, changesRequest{Table: site.TableUpstreams, Whole: true})
		assert.NilError(t, err)
	}
	far.frozen.Store(true)
	h.store.add("b")
	took := h.hears(t, 1)
	t.Logf("heard after %v", took)
	assert.Assert(t, took < cutOffIn, "%v", took)
}

// Symptom: a store that turned callers away was called 20 times at once, each call paid
// for, by one node.
// Sequence: 20 nodes of a hall asked a node that had not heard from the store lately. It
// asked the store for the first, failed, and did so again for each of the others.
// Cause: those that waited for a call which was under way began one of their own when it
// had failed, one after the other.
// What settled it: 20 calls at the store for 20 nodes that asked at once.
func TestStoreThatRefusesIsNotAskedByEach(t *testing.T) {
	t.Parallel()
	const nodes = 20
	h := newTestHall(t)
	h.store.add("a")
	h.read(t)
	h.age()
	away := &tableStore{fail: true}
	h.reader.store = away
	askAll := func() {
		var wg sync.WaitGroup
		for range nodes {
			wg.Go(func() {
				_, err := h.asker.ask(t.Context(), h.server.Addr(), changesRequest{Table: site.TableUpstreams, After: 1, WaitMS: 100})
				assert.Check(t, err != nil, "what is known is old")
			})
		}
		wg.Wait()
	}
	begun := time.Now()
	// On a busy machine the nodes may take longer than the pause to ask.
	most := func() int { return 1 + int(time.Since(begun)/refreshPause) }
	askAll()
	assert.Assert(t, away.count() <= most(), "%d calls in %v", away.count(), time.Since(begun))
	time.Sleep(refreshPause)
	before := away.count()
	askAll()
	assert.Assert(t, away.count() > before, "it is tried again")
	assert.Assert(t, away.count() <= most(), "%d calls in %v", away.count(), time.Since(begun))
}

// Symptom: a row was missing from the whole table that a node told to others, until it
// changed again.
// Sequence: the node had heard of the row's change before it took in a whole table that
// was read earlier, in which the row was older.
// Cause: a row that was older than what was known was left out of the new table, instead
// of what was known taken over.
// What settled it: the row in the answer before the whole table and in none after.
func TestWholeTableKeepsANewerRow(t *testing.T) {
	h := newTestHall(t)
	q := changesRequest{Table: site.TableUpstreams, Whole: true}
	newer := []site.Row{{Key: "a", Version: 105}}
	h.reader.take(q, site.Listing{Rows: newer, Version: 100}, true)
	h.reader.take(q, site.Listing{Rows: []site.Row{{Key: "a", Version: 99}}, Version: 102}, false)
	a, _, _, err := h.reader.answer(q)
	assert.NilError(t, err)
	rows, err := a.Rows.unpack(nil)
	assert.NilError(t, err)
	assert.DeepEqual(t, rows, newer)
}

// Symptom: nodes whose held calls ended just as a configuration of 5,600 routes came had
// it a call later.
// Sequence: the reader took the change in, woke the calls that were held, and packed it
// for the first of them, 13 ms; calls that ended meanwhile were behind it.
// Cause: what nodes are told was packed when the first of them was answered.
// What settled it: no packed answer is there when a change has been taken in.
func TestChangeIsPackedWhenItComes(t *testing.T) {
	h := newTestHall(t)
	row := func(version int64, routes int) site.Listing {
		return site.Listing{Version: version, Rows: []site.Row{{Key: operatorKey, Version: version, Value: routesText(int(version), routes)}}}
	}
	h.reader.take(changesRequest{Table: site.TableOperator, Whole: true}, row(1, 100), true)
	h.reader.take(changesRequest{Table: site.TableOperator, After: 1}, row(2, 110), true)
	x := h.reader.tables[site.TableOperator]
	assert.Equal(t, len(x.told), 1)
	a, _, _, err := h.reader.answer(changesRequest{Table: site.TableOperator, After: 1, Have: rowRef{Key: operatorKey, Version: 1}})
	assert.NilError(t, err)
	assert.Equal(t, a.Rows.Base, rowRef{Key: operatorKey, Version: 1})
	assert.Equal(t, len(x.told), 1, "it is what a node that is up to date is told")
}

// Symptom: a node that was told to stop waited for 11.4 s for what it was reading.
// Sequence: the store's answer came in small pieces, each in time, and went on coming.
// Cause: an answer was waited for for 10 s more than its limit, which is longer than a
// stop may take.
// What settled it: the follower was in the call to the store all the while; it ended when
// the call did.
func TestStopDoesNotWaitForATricklingStore(t *testing.T) {
	t.Parallel()
	const (
		every = 200 * time.Millisecond // Between the pieces of the answer.
		most  = 6 * time.Second        // A call's own limit and 4 s are 4.8 s.
	)
	coming := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = w.Write([]byte(`{"rows":[`)) // A caller that has gone needs none.
		w.(http.Flusher).Flush()
		close(coming)
		for r.Context().Err() == nil {
			sleep(r.Context(), every)
			_, _ = w.Write([]byte(" ")) // As above.
			w.(http.Flusher).Flush()
		}
	}))
	defer server.Close()
	s := platform.NewStore(netip.MustParseAddrPort(server.Listener.Addr().String()))
	defer s.Close()
	ctx, cancel := context.WithCancel(t.Context())
	f := &follower{
		store: s, table: site.TableOperator, name: "operator", hold: 100 * time.Millisecond,
		apply: func([]site.Row, bool, time.Time) {}, away: func(time.Time) {}, heard: func(_, _ time.Time) {},
		log: slog.New(slog.DiscardHandler), version: 1, listed: true,
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		f.run(ctx)
	}()
	<-coming
	cancel()
	begun := time.Now()
	<-done
	t.Logf("ended after %v", time.Since(begun))
	assert.Assert(t, time.Since(begun) < most, "%v", time.Since(begun))
}
