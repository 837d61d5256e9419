package tables

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
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/drumpath/drumpath/internal/netproxy"
	"github.com/drumpath/drumpath/internal/standin/memtable"
	"github.com/drumpath/drumpath/pkg/boottime"
	"github.com/drumpath/drumpath/pkg/control"
	"github.com/drumpath/drumpath/pkg/history"
	"github.com/drumpath/drumpath/pkg/site"
	"github.com/drumpath/drumpath/pkg/timer"
	"github.com/drumpath/drumpath/platform"
	"github.com/drumpath/drumpath/service/peer"
)

// at returns a position in the first era.
func at(version int64) history.Position { return history.Position{Version: version} }

// testHall has two real nodes of one hall: reader, and requester, which asks it.
type testHall struct {
	store             *memtable.Store
	reader, requester *Reader
	server            *peer.Server
	proxy             *netproxy.Proxy // In front of the reader.
}

func newTestHall(t *testing.T) *testHall {
	log := slog.New(slog.DiscardHandler)
	server, err := peer.NewServer(netip.MustParseAddrPort("127.0.0.1:0"), map[peer.Role]string{peer.RolePeer: "key"}, log)
	assert.NilError(t, err)
	proxy, err := netproxy.New(server.Addr())
	assert.NilError(t, err)
	client := peer.NewClient("key")
	var list []control.Member
	for i := range control.MaxDirectNodes + 2 {
		list = append(list, control.Member{Name: fmt.Sprintf("n%d", i), DataHall: "h", Peer: netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(1000+i)), Incarnation: 1})
	}
	owner, ok := control.Owner(list, ReaderDuty(site.TableUpstreams))
	assert.Assert(t, ok)
	requester := control.Member{}
	for i := range list {
		if list[i].Name == owner.Name {
			list[i].Peer = proxy.Addr()
			owner = list[i]
		} else {
			requester = list[i]
		}
	}
	members := func(self control.Member) *control.Members {
		m := control.NewMembers(self, time.Second, nil, rand.New(rand.NewPCG(1, 2)))
		m.Merge(list, time.Now())
		return m
	}
	store := &memtable.Store{}
	h := &testHall{
		store:     store,
		reader:    NewReader(store, owner, members(owner), client, log),
		requester: NewReader(store, requester, members(requester), client, log),
		server:    server,
		proxy:     proxy,
	}
	server.Handle(peer.RolePeer, MethodChanges, h.reader.Serve)
	server.Start()
	t.Cleanup(func() {
		client.Close()
		proxy.Close()
		server.Close()
	})
	return h
}

// clearSkipped lets the requester ask its hall's reader again.
func (h *testHall) clearSkipped() {
	h.requester.mu.Lock()
	defer h.requester.mu.Unlock()
	clear(h.requester.skippedUntil)
}

// skipReader makes the requester skip its hall's reader.
func (h *testHall) skipReader() {
	h.requester.skipReader(site.TableUpstreams, h.proxy.Addr(), time.Now(), errReaderBehind)
}

// makeReaderStale makes the reader's copy too old.
func (h *testHall) makeReaderStale() {
	h.reader.mu.Lock()
	defer h.reader.mu.Unlock()
	h.reader.tables[site.TableUpstreams].storeReadAt = time.Now().Add(-2 * maxReaderAge)
}

// readStore has the reader read the store.
func (h *testHall) readStore(t *testing.T) {
	t.Helper()
	_, err := h.reader.List(t.Context(), site.TableUpstreams)
	assert.NilError(t, err)
}

func TestHallNodesAskTheReader(t *testing.T) {
	h := newTestHall(t)
	h.store.Add("a")
	h.readStore(t)
	before := h.store.CallCount()
	l, err := h.requester.List(t.Context(), site.TableUpstreams)
	assert.NilError(t, err)
	assert.Equal(t, len(l.Rows), 1)
	assert.Equal(t, h.store.CallCount(), before, "the store was not asked")
	done := make(chan site.Listing, 1)
	go func() {
		l, err := h.requester.Changes(context.Background(), site.TableUpstreams, l.Position, time.Second)
		assert.Check(t, err == nil)
		done <- l
	}()
	h.store.Add("b")
	_, err = h.reader.Changes(t.Context(), site.TableUpstreams, l.Position, time.Second)
	assert.NilError(t, err)
	got := <-done
	assert.Equal(t, got.Rows[len(got.Rows)-1].Key, "b")
}

// A reader that can't reach the store itself is not trusted.
func TestStaleReaderIsSkipped(t *testing.T) {
	h := newTestHall(t)
	h.store.Add("a")
	h.readStore(t)
	h.reader.store = &memtable.Store{Fail: true}
	h.makeReaderStale()
	h.store.Add("b")
	l, err := h.requester.List(t.Context(), site.TableUpstreams)
	assert.NilError(t, err)
	assert.Equal(t, len(l.Rows), 2, "the store itself was asked")
	before := h.store.CallCount()
	_, err = h.requester.List(t.Context(), site.TableUpstreams)
	assert.NilError(t, err)
	assert.Equal(t, h.store.CallCount(), before+1, "and for a while after that")
}

// A node that becomes the reader has a stale copy when it is first asked. It reads the store
// once for all requesters.
func TestStaleReaderReadsStoreOnceForAllRequesters(t *testing.T) {
	h := newTestHall(t)
	h.store.Add("a")
	h.readStore(t)
	h.makeReaderStale()
	h.store.Add("b")
	h.checkReadOnceForAll(t, 1)
	h.makeReaderStale()
	h.store.Add("c")
	h.store.Mu.Lock()
	h.store.HistoryStart = h.store.Version
	h.store.Mu.Unlock()
	h.checkReadOnceForAll(t, 2) // A call for the changes, and one for the whole table.
}

// checkReadOnceForAll reads the table 8 times at once, and checks the number of calls to
// the store.
func (h *testHall) checkReadOnceForAll(t *testing.T, calls int) {
	t.Helper()
	before := h.store.CallCount()
	var wg sync.WaitGroup
	for range 8 {
		wg.Go(func() {
			l, err := h.requester.List(t.Context(), site.TableUpstreams)
			assert.Check(t, err == nil && len(l.Rows) == len(h.store.Rows), "%v", err)
		})
	}
	wg.Wait()
	assert.Equal(t, h.store.CallCount(), before+calls)
}

func TestClosedReaderIsSkipped(t *testing.T) {
	h := newTestHall(t)
	h.store.Add("a")
	h.readStore(t)
	h.server.Close()
	l, err := h.requester.List(t.Context(), site.TableUpstreams)
	assert.NilError(t, err)
	assert.Equal(t, len(l.Rows), 1)
}

func TestReaderWithoutTableIsSkipped(t *testing.T) {
	h := newTestHall(t)
	h.store.Add("a")
	l, err := h.requester.List(t.Context(), site.TableUpstreams)
	assert.NilError(t, err)
	assert.Equal(t, len(l.Rows), 1)
}

func TestReaderReportsMissingHistory(t *testing.T) {
	h := newTestHall(t)
	h.store.Add("a")
	h.store.Add("b")
	h.readStore(t)
	_, err := h.requester.Changes(t.Context(), site.TableUpstreams, at(1), 10*time.Millisecond)
	assert.ErrorIs(t, err, site.ErrHistoryGone)
}

// fleetMembers returns the nodes of a fleet.
func fleetMembers(count, halls int) (list []control.Member) {
	for i := range count {
		list = append(list, control.Member{
			Name: fmt.Sprint("n", i), DataHall: fmt.Sprint("h", i%halls), Incarnation: 1,
			Peer: netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(1000+i)),
		})
	}
	return list
}

// fleetReaders returns the reader of each node of a fleet, by node name.
func fleetReaders(count, halls int) map[string]*Reader {
	fleet, list := map[string]*Reader{}, fleetMembers(count, halls)
	for _, self := range list {
		m := control.NewMembers(self, time.Second, nil, rand.New(rand.NewPCG(1, 2)))
		m.Merge(list, time.Now())
		fleet[self.Name] = NewReader(&memtable.Store{}, self, m, nil, slog.New(slog.DiscardHandler))
	}
	return fleet
}

func TestFewNodesReadStoreDirectly(t *testing.T) {
	for count := 1; count <= control.MaxDirectNodes; count++ {
		for _, r := range fleetReaders(count, 2) {
			_, ok := r.reader(site.TableUpstreams)
			assert.Assert(t, !ok)
			assert.Assert(t, !r.servesPeers(), "its copy is not read by peers")
		}
	}
}

// Calls to the store were 40 % of the cost of 18 nodes in 5 halls when halls of up to four
// nodes had no reader. Now one node reads each table for all small halls, and one of each
// large hall.
func TestReadersPerHallSize(t *testing.T) {
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

// A store that has dropped its history may answer with an older state of a table; nodes that
// ask the reader must not miss changes it had already received. Found by the soak, seed 129.
func TestReaderIgnoresOlderWholeTable(t *testing.T) {
	h := newTestHall(t)
	h.store.Add("a")
	h.readStore(t)
	h.store.Add("a") // Again.
	_, err := h.reader.Changes(t.Context(), site.TableUpstreams, at(1), 0)
	assert.NilError(t, err)
	h.store.Mu.Lock()
	rows, version := h.store.Rows, h.store.Version
	h.store.Rows, h.store.Version = rows[:1], 1
	h.store.Mu.Unlock()
	_, err = h.reader.List(t.Context(), site.TableUpstreams)
	assert.NilError(t, err)
	h.store.Mu.Lock()
	h.store.Rows, h.store.Version = rows, version
	h.store.Mu.Unlock()
	l, err := h.requester.Changes(t.Context(), site.TableUpstreams, at(1), 10*time.Millisecond)
	assert.NilError(t, err)
	assert.Equal(t, len(l.Rows), 1, "position %s without its row", l.Position)
	assert.Equal(t, l.Rows[0].Position, at(2))
}

// A node that received a change from a peer passes it on after it goes back to reading the
// store, which does not report it again. Found by the soak, seed 129.
func TestChangesReceivedFromPeersArePassedOn(t *testing.T) {
	h := newTestHall(t)
	h.store.Add("a")
	h.readStore(t)
	h.store.Add("b")
	_, err := h.reader.Changes(t.Context(), site.TableUpstreams, at(1), 0)
	assert.NilError(t, err)
	_, err = h.requester.List(t.Context(), site.TableUpstreams)
	assert.NilError(t, err)
	h.store.Add("c")
	_, err = h.reader.Changes(t.Context(), site.TableUpstreams, at(2), 0)
	assert.NilError(t, err)
	l, err := h.requester.Changes(t.Context(), site.TableUpstreams, at(2), 0)
	assert.NilError(t, err)
	assert.Equal(t, l.Rows[0].Key, "c")
	h.skipReader() // The requester reads the store itself from now on.
	h.store.Add("d")
	_, err = h.requester.Changes(t.Context(), site.TableUpstreams, l.Position, 0)
	assert.NilError(t, err)
	a, _, _, err := h.requester.answer(changesRequest{Table: site.TableUpstreams, After: at(2)})
	assert.NilError(t, err)
	assert.Equal(t, a.Position, at(4))
	rows, err := a.Rows.unpack(nil)
	assert.NilError(t, err)
	assert.Equal(t, len(rows), 2, "c and d")
}

// An answer that arrives after a newer one does not revert rows.
func TestLateAnswerDoesNotRevertRow(t *testing.T) {
	h := newTestHall(t)
	h.store.Add("a")
	h.readStore(t)
	q := changesRequest{Table: site.TableUpstreams, After: at(1)}
	row := func(version int64) site.Listing {
		return site.Listing{Rows: []site.Row{{Key: "a", Position: at(version)}}, Position: at(version)}
	}
	h.reader.apply(q, row(3), true)
	h.reader.apply(q, row(2), true)
	a, _, _, err := h.reader.answer(changesRequest{Table: site.TableUpstreams, After: at(2)})
	assert.NilError(t, err)
	rows, err := a.Rows.unpack(nil)
	assert.NilError(t, err)
	assert.DeepEqual(t, rows, row(3).Rows)
}

// After missed changes a node serves nothing until it has read the whole table.
func TestReaderWithMissedChangesDoesNotAnswer(t *testing.T) {
	h := newTestHall(t)
	h.store.Add("a")
	h.readStore(t)
	h.reader.apply(changesRequest{Table: site.TableUpstreams, After: at(5)}, site.Listing{Position: at(6)}, true)
	_, _, _, err := h.reader.answer(changesRequest{Table: site.TableUpstreams, After: at(1)})
	assert.ErrorIs(t, err, errReaderBehind)
	h.readStore(t)
}

// A node that the store refuses reads from its peers.
func TestNodeWithoutStoreReadsFromPeers(t *testing.T) {
	h := newTestHall(t)
	h.store.Add("a")
	h.readStore(t)
	failing := &memtable.Store{Fail: true}
	h.requester.store = failing
	var logged bytes.Buffer
	h.requester.log = slog.New(slog.NewTextHandler(&logged, nil))
	h.skipReader() // As if its hall's reader had failed.
	others := func() {
		// All other members of the hall get the address of the one real node.
		var list []control.Member
		for _, m := range h.requester.members.All() {
			if m.Name != h.requester.self.Name {
				m.Peer, m.Incarnation = h.proxy.Addr(), m.Incarnation+1
				list = append(list, m)
			}
		}
		h.requester.members.Merge(list, time.Now())
	}
	others()
	l, err := h.requester.List(t.Context(), site.TableUpstreams)
	assert.NilError(t, err)
	assert.Equal(t, len(l.Rows), 1)
	h.store.Add("b")
	_, err = h.reader.Changes(t.Context(), site.TableUpstreams, l.Position, 0)
	assert.NilError(t, err)
	calls := failing.CallCount()
	l, err = h.requester.Changes(t.Context(), site.TableUpstreams, l.Position, time.Second)
	assert.NilError(t, err)
	assert.Equal(t, l.Rows[0].Key, "b")
	assert.Equal(t, failing.CallCount(), calls, "the store is not called for a while")
	h.requester.mu.Lock()
	outage := h.requester.outages[site.TableUpstreams]
	outage.retryAt = time.Time{}
	h.requester.outages[site.TableUpstreams] = outage
	h.requester.mu.Unlock()
	failing.Mu.Lock()
	failing.Fail, failing.Version, failing.Rows = false, l.Position.Version, nil
	failing.Mu.Unlock()
	_, err = h.requester.Changes(t.Context(), site.TableUpstreams, l.Position, 0)
	assert.NilError(t, err)
	assert.Assert(t, failing.CallCount() > calls, "then it is tried again")
	assert.Assert(t, !h.requester.storeUnreachable(site.TableUpstreams))
	assert.Equal(t, strings.Count(logged.String(), "store not reached"), 1, "one line when it is lost")
	assert.Equal(t, strings.Count(logged.String(), "store reached again"), 1, "and one when it is back")
}

// A node that can't reach the store asked one other node in each attempt, and paused if that one was cut off as well.
func TestNodeWithoutStoreAsksAnotherPeerIfOneIsBehind(t *testing.T) {
	h := newTestHall(t)
	h.store.Add("a")
	h.readStore(t)
	server, err := peer.NewServer(netip.MustParseAddrPort("127.0.0.1:0"), map[peer.Role]string{peer.RolePeer: "key"}, h.requester.log)
	assert.NilError(t, err)
	t.Cleanup(server.Close)
	cutOff := NewReader(&memtable.Store{Fail: true}, control.Member{Name: "cut-off"}, h.requester.members, nil, h.requester.log)
	server.Handle(peer.RolePeer, MethodChanges, cutOff.Serve)
	server.Start()
	h.requester.store = &memtable.Store{Fail: true}
	var list []control.Member
	for _, m := range h.requester.members.All() {
		if m.Peer == h.proxy.Addr() || m.Name == h.requester.self.Name {
			continue
		}
		m.Incarnation++
		if m.Peer = server.Addr(); len(list) > 1 {
			m.State = control.MemberDead
		}
		list = append(list, m)
	}
	h.requester.members.Merge(list, time.Now())
	for range 20 {
		h.skipReader()
		_, err := h.requester.Changes(t.Context(), site.TableUpstreams, at(1), 0)
		assert.NilError(t, err)
	}
}

// countingStore counts the rows that it sends, each of which takes a while.
type countingStore struct {
	*memtable.Store
	sent atomic.Int64
}

func (s *countingStore) Changes(ctx context.Context, t site.Table, after history.Position, wait time.Duration) (site.Listing, error) {
	l, err := s.Store.Changes(ctx, t, after, wait)
	if s.sent.Add(int64(len(l.Rows))); len(l.Rows) > 0 {
		timer.Sleep(ctx, 100*time.Millisecond)
	}
	return l, err
}

// A node that takes over as the reader read a change twice at once, for itself and for those that ask it. A
// configuration of 2.5 MB then takes a link of 10 Mbit/s four seconds.
func TestNodeThatTakesOverReadsAChangeOnce(t *testing.T) {
	h := newTestHall(t)
	h.store.Add("a")
	h.readStore(t)
	h.reader.mu.Lock()
	h.reader.tables[site.TableUpstreams].storeReadAt = time.Time{} // It has read through another node.
	h.reader.mu.Unlock()
	store := &countingStore{Store: h.store}
	h.reader.store = store
	h.store.Add("b")
	q := changesRequest{Table: site.TableUpstreams, After: at(1)}
	params, err := json.Marshal(q)
	assert.NilError(t, err)
	var wg sync.WaitGroup
	wg.Go(func() {
		_, err := h.reader.Serve(t.Context(), params)
		assert.Check(t, err)
	})
	time.Sleep(20 * time.Millisecond)
	_, err = h.reader.readStore(t.Context(), q, 0)
	assert.NilError(t, err)
	wg.Wait()
	assert.Equal(t, store.sent.Load(), int64(1))
}

// While no node reaches the store, none serves an old copy.
func TestStaleTableIsNotServedDuringOutage(t *testing.T) {
	h := newTestHall(t)
	h.readStore(t)
	h.reader.mu.Lock()
	h.reader.tables[site.TableUpstreams].storeReadAt = time.Now().Add(-outageMaxAge - time.Second)
	h.reader.mu.Unlock()
	h.requester.store = &memtable.Store{Fail: true}
	h.reader.store = h.requester.store
	h.skipReader()
	_, err := h.requester.List(t.Context(), site.TableUpstreams)
	assert.ErrorContains(t, err, "down")
}

// During an outage that all nodes see, every node called the store again after each failed call
// to a peer, some 20 times in 8 s for each table. Only the readers do so now; another node calls
// it once in storeRetryInterval.
func TestOutageIsProbedByReadersOnly(t *testing.T) {
	h := newTestHall(t)
	h.readStore(t)
	h.reader.mu.Lock()
	h.reader.tables[site.TableUpstreams].storeReadAt = time.Now().Add(-outageMaxAge - time.Second)
	h.reader.mu.Unlock()
	failing := &memtable.Store{Fail: true}
	h.reader.store = &memtable.Store{Fail: true}
	h.requester.store = failing
	var list []control.Member
	for _, m := range h.requester.members.All() {
		if m.Name != h.requester.self.Name {
			m.Peer, m.Incarnation = h.proxy.Addr(), m.Incarnation+1
			list = append(list, m)
		}
	}
	h.requester.members.Merge(list, time.Now())
	startedAt := time.Now()
	for range 5 {
		_, err := h.requester.Changes(t.Context(), site.TableUpstreams, at(1), time.Second)
		assert.Assert(t, err != nil, "no node has a recent copy")
	}
	assert.Assert(t, failing.CallCount() <= 1+int(time.Since(startedAt)/storeRetryInterval), "%d calls in %v", failing.CallCount(), time.Since(startedAt))
	assert.Assert(t, !h.requester.isReader(site.TableUpstreams))
	assert.Assert(t, h.reader.isReader(site.TableUpstreams))
}

// Relaying to a whole hall takes more than a narrow link carries: a configuration of some 60
// kB for 20 nodes occupies a link of 10 Mbit/s for a second.
func TestNodesWithWidestLinksRead(t *testing.T) {
	wide := control.Member{Name: "wide", DataHall: "h", Incarnation: 1, Link: 200, Peer: netip.MustParseAddrPort("127.0.0.1:1")}
	self := control.Member{Name: "n0", DataHall: "h", Incarnation: 1, Link: 10}
	m := control.NewMembers(self, time.Second, nil, rand.New(rand.NewPCG(1, 2)))
	list := []control.Member{wide}
	for i := range 20 {
		list = append(list, control.Member{Name: fmt.Sprintf("n%d", i), DataHall: "h", Incarnation: 1, Link: 10})
	}
	m.Merge(list, time.Now())
	for _, table := range []site.Table{site.TableOperator, site.TableUpstreams} {
		reader, ok := NewReader(nil, self, m, nil, nil).reader(table)
		assert.Assert(t, ok)
		assert.Equal(t, reader, wide.Peer)
	}
}

// cutOffLimit is the time within which a node must receive a change though its reader is cut
// off, or all its readers are frozen: a site of a few nodes has a change in force within 2 s.
// slowReceiveLimit is the same while a reader receives a response slowly, which takes links as
// narrow and configurations as large as larger sites have; the rest of inForceWithin is for
// applying the change.
const (
	cutOffLimit      = 1900 * time.Millisecond
	slowReceiveLimit = 2600 * time.Millisecond
	inForceWithin    = 3 * time.Second
)

// timeToReceive returns how long the requester takes to receive a change that the store
// already has.
func (h *testHall) timeToReceive(t *testing.T, after history.Position) time.Duration {
	t.Helper()
	startedAt := time.Now()
	for {
		l, err := h.requester.Changes(t.Context(), site.TableUpstreams, after, longPollTimeout)
		if err == nil && len(l.Rows) > 0 {
			return time.Since(startedAt)
		}
	}
}

// fillBoth adds a row to the store and has both nodes read it, the reader from the store
// itself and just now.
func (h *testHall) fillBoth(t *testing.T) {
	t.Helper()
	h.store.Add("a")
	h.readStore(t)
	_, err := h.requester.List(t.Context(), site.TableUpstreams)
	assert.NilError(t, err)
	h.readStore(t)
}

// blackholeStore is the store behind a cut link: calls end at their timeout.
type blackholeStore struct{ *memtable.Store }

// callTimeout is by how much a call's timeout exceeds its hold time.
const callTimeout = 700 * time.Millisecond

func (s blackholeStore) Changes(ctx context.Context, _ site.Table, _ history.Position, wait time.Duration) (site.Listing, error) {
	timer.Sleep(ctx, wait+callTimeout)
	return site.Listing{}, fmt.Errorf("timeout")
}

// Nodes of a hall had a change 3.0 s and more after the store, where it has to be in force
// within 3 s. The hall's reader had lost its link to the store, but not to the hall. While its
// own calls to the store ran into their timeouts, its copy counted as no older than at the
// call's beginning, for 3.5 s and whether anything arrived or not, so it held each peer's call
// for another second and answered that nothing had changed.
func TestCutOffReaderIsSkippedInTime(t *testing.T) {
	t.Parallel()
	h := newTestHall(t)
	h.fillBoth(t)
	h.reader.store = blackholeStore{h.store}
	go func() {
		for t.Context().Err() == nil {
			_, _ = h.reader.readStore(t.Context(), changesRequest{Table: site.TableUpstreams, After: at(1)}, storePollWait) // It fails.
		}
	}()
	time.Sleep(20 * time.Millisecond) // The first call is in flight.
	h.store.Add("b")
	took := h.timeToReceive(t, at(1))
	t.Logf("received after %v", took)
	assert.Assert(t, took < cutOffLimit, "%v", took)
}

// slowStore is the store behind a slow link: a large response has begun and keeps arriving.
type slowStore struct {
	*memtable.Store
	largeAt time.Time
}

func (s slowStore) LastLargeResponse() time.Time { return s.largeAt }

func (s slowStore) Changes(ctx context.Context, _ site.Table, _ history.Position, _ time.Duration) (site.Listing, error) {
	<-ctx.Done()
	return site.Listing{}, ctx.Err()
}

// Nodes of a hall had a change 4.0 s after the store. The hall's reader was receiving the
// response over a link slower than usual, and peers waited 3.5 s for it, which left no time to
// ask another node, though their own links were free.
func TestSlowlyReceivingReaderIsSkippedInTime(t *testing.T) {
	t.Parallel()
	h := newTestHall(t)
	h.fillBoth(t)
	h.reader.store = slowStore{h.store, time.Now().Add(50 * time.Millisecond)}
	go func() {
		_, _ = h.reader.readStore(t.Context(), changesRequest{Table: site.TableUpstreams, After: at(1)}, storePollWait) // It never ends.
	}()
	time.Sleep(50 * time.Millisecond) // The call is in flight.
	h.store.Add("b")
	took := h.timeToReceive(t, at(1))
	t.Logf("received after %v", took)
	assert.Assert(t, took < slowReceiveLimit, "%v", took)
}

// A node that had once lost the store or its reader never received a large change again; its
// link was full meanwhile, 18 MB in 15 s for an answer of 2 MB. A call after a failed one had
// a timeout of 0.6 to 1.3 s for the whole answer, which a large one over a link of 10 Mbit/s
// exceeds; that counted as the next failure, and so on.
func TestLargeAnswerArrivesAfterFailedCall(t *testing.T) {
	t.Parallel()
	const (
		size = 500_000 // Bytes; 1.3 s of the link as they are encoded.
		mbit = 4
	)
	h := newTestHall(t)
	links := netproxy.NewNetwork()
	defer links.Close()
	link := netproxy.NewSharedLink(mbit)
	h.setReaderAddr(connect(t, links, link, nil, h.server.Addr()))
	noise := make([]byte, size)
	for i := range noise {
		noise[i] = "abcdefghijklmnopqrstuvwxyz0123456789"[rand.IntN(36)]
	}
	h.store.Add("a")
	h.readStore(t)
	h.store.Mu.Lock()
	h.store.Version = 2
	h.store.Rows = append(h.store.Rows, site.Row{Key: "b", Position: at(2), Value: noise})
	h.store.Mu.Unlock()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	read := func(after history.Position) {
		_, err := h.reader.readStore(ctx, changesRequest{Table: site.TableUpstreams, After: after}, 0)
		assert.Check(t, err == nil || ctx.Err() != nil, "%v", err)
	}
	read(at(1))
	_, _, _, err := h.reader.answer(changesRequest{Table: site.TableUpstreams, After: at(1)}) // Packs the answer.
	assert.NilError(t, err)
	got := make(chan int, 1)
	f := &Follower{
		Store: h.requester, Table: site.TableUpstreams, Name: "upstreams", LongPoll: storePollWait,
		Apply:     func(rows []site.Row, _ bool, _ time.Time) { got <- len(rows[0].Value) },
		OnFailure: func(_, _ time.Time) {}, OnAnswer: func(_, _ time.Time) {}, Log: slog.New(slog.DiscardHandler),
		position: at(1), listed: true, failingSince: time.Now(), retryDelay: minFollowRetry,
	}
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	wg.Go(func() {
		for ctx.Err() == nil { // The reader keeps reading the store.
			timer.Sleep(ctx, storePollWait/4)
			read(at(2))
		}
	})
	startedAt := time.Now()
	wg.Go(func() { f.Run(ctx) })
	select {
	case n := <-got:
		took := time.Since(startedAt)
		t.Logf("came after %v, %d bytes over the link", took, link.Received())
		assert.Equal(t, n, size)
		assert.Assert(t, took < inForceWithin, "%v", took)
		assert.Assert(t, link.Received() > size, "the answer came from the reader")
		assert.Assert(t, link.Received() < 2*size, "it was sent once: %d bytes", link.Received())
	case <-time.After(2 * inForceWithin):
		t.Fatalf("not within %v: %d bytes over the link", time.Since(startedAt), link.Received())
	}
}

// operatorKey is the key of the configuration's row.
const operatorKey = "config"

// wideMbit is the rate of a wide link.
const wideMbit = 200

// longPollTimeout is how long a call waits for changes, the product's default.
const longPollTimeout = 2500 * time.Millisecond

// connect returns an address at which the node at the near link reaches a target behind the far one.
func connect(t testing.TB, n *netproxy.Network, near, far *netproxy.SharedLink, target netip.AddrPort) netip.AddrPort {
	t.Helper()
	addr, err := n.Connect(near, far, target)
	assert.NilError(t, err)
	return addr
}

// setReaderAddr gives the reader another address at the requester.
func (h *testHall) setReaderAddr(addr netip.AddrPort) {
	var list []control.Member
	for _, m := range h.requester.members.All() {
		if m.Peer == h.proxy.Addr() {
			m.Peer, m.Incarnation = addr, m.Incarnation+1
			list = append(list, m)
		}
	}
	h.requester.members.Merge(list, time.Now())
}

// Nodes of a hall had a change 2.8 s after the store when both readers of the table were
// frozen: the second one, too, was long-polled, so that the two calls took 1.4 s each, though
// an answer was due at once after the first had failed.
func TestTwoFrozenReadersAreSkippedInTime(t *testing.T) {
	t.Parallel()
	h := newTestHall(t)
	links := netproxy.NewNetwork()
	defer links.Close()
	link := netproxy.NewSharedLink(wideMbit)
	var list []control.Member
	for _, m := range h.requester.members.All() {
		if m.Name != h.requester.self.Name {
			m.Peer, m.Incarnation = connect(t, links, nil, link, h.server.Addr()), m.Incarnation+1
			list = append(list, m)
		}
	}
	h.requester.members.Merge(list, time.Now())
	h.store.Add("a")
	h.readStore(t)
	_, err := h.requester.List(t.Context(), site.TableUpstreams)
	assert.NilError(t, err)
	for _, m := range list { // The connections are up.
		_, err := h.requester.askNode(t.Context(), m.Peer, changesRequest{Table: site.TableUpstreams, Whole: true})
		assert.NilError(t, err)
	}
	link.Freeze()
	h.store.Add("b")
	took := h.timeToReceive(t, at(1))
	t.Logf("received after %v", took)
	assert.Assert(t, took < cutOffLimit, "%v", took)
}

// One node called a store that refused calls 20 times at once, each call paid for. 20 nodes of
// a hall had asked it while its copy was stale; each request that waited for the call in
// flight made one of its own after that had failed.
func TestFailingStoreIsNotCalledForEachRequester(t *testing.T) {
	t.Parallel()
	const nodes = 20
	h := newTestHall(t)
	h.store.Add("a")
	h.readStore(t)
	h.makeReaderStale()
	failing := &memtable.Store{Fail: true}
	h.reader.store = failing
	askAll := func() {
		var wg sync.WaitGroup
		for range nodes {
			wg.Go(func() {
				_, err := h.requester.askNode(t.Context(), h.server.Addr(), changesRequest{Table: site.TableUpstreams, After: at(1), WaitMS: 100})
				assert.Check(t, err != nil, "the copy is stale")
			})
		}
		wg.Wait()
	}
	startedAt := time.Now()
	// On a busy machine the nodes may take longer than the pause to ask.
	maxCalls := func() int { return 1 + int(time.Since(startedAt)/refreshPause) }
	askAll()
	assert.Assert(t, failing.CallCount() <= maxCalls(), "%d calls in %v", failing.CallCount(), time.Since(startedAt))
	time.Sleep(refreshPause)
	before := failing.CallCount()
	askAll()
	assert.Assert(t, failing.CallCount() > before, "it is tried again")
	assert.Assert(t, failing.CallCount() <= maxCalls(), "%d calls in %v", failing.CallCount(), time.Since(startedAt))
}

// A row was missing from the whole table that a node served, until it changed again. The node
// had received the row's change before it applied a whole table that was read earlier: the
// older row was skipped without carrying the newer one over.
func TestWholeTableKeepsNewerRow(t *testing.T) {
	h := newTestHall(t)
	q := changesRequest{Table: site.TableUpstreams, Whole: true}
	newer := []site.Row{{Key: "a", Position: at(105)}}
	h.reader.apply(q, site.Listing{Rows: newer, Position: at(100)}, true)
	h.reader.apply(q, site.Listing{Rows: []site.Row{{Key: "a", Position: at(99)}}, Position: at(102)}, false)
	a, _, _, err := h.reader.answer(q)
	assert.NilError(t, err)
	rows, err := a.Rows.unpack(nil)
	assert.NilError(t, err)
	assert.DeepEqual(t, rows, newer)
}

// Nodes whose long polls ended just as a configuration of 5,600 routes arrived had it only
// with their next poll: the change was packed, in 13 ms, only when the first of them was
// answered.
func TestChangeIsPackedBeforePeersAsk(t *testing.T) {
	h := newTestHall(t)
	row := func(version int64, routes int) site.Listing {
		return site.Listing{Position: at(version), Rows: []site.Row{{Key: operatorKey, Position: at(version), Value: routesText(int(version), routes)}}}
	}
	first := row(1, 100)
	base := rowRef{Key: operatorKey, Digest: digestOf(first.Rows[0].Value)}
	h.reader.apply(changesRequest{Table: site.TableOperator, Whole: true}, first, true)
	h.reader.apply(changesRequest{Table: site.TableOperator, After: at(1)}, row(2, 110), true)
	x := h.reader.tables[site.TableOperator]
	assert.Equal(t, len(x.packed), 1)
	a, _, _, err := h.reader.answer(changesRequest{Table: site.TableOperator, After: at(1), HaveRef: base})
	assert.NilError(t, err)
	assert.Equal(t, a.Rows.Base, base)
	assert.Equal(t, len(x.packed), 1, "the answer was packed before")
}

// A node took 11.4 s to stop while the store's answer arrived in small pieces: an answer was
// waited for up to 10 s beyond its timeout, which is longer than a stop may take.
func TestStopDoesNotWaitForSlowStore(t *testing.T) {
	t.Parallel()
	const (
		interval = 200 * time.Millisecond // Between the pieces of the answer.
		limit    = 6 * time.Second        // A call's own timeout and 4 s are 4.8 s.
	)
	started := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = w.Write([]byte(`{"rows":[`)) // The error doesn't matter once the client has disconnected.
		w.(http.Flusher).Flush()
		close(started)
		for r.Context().Err() == nil {
			timer.Sleep(r.Context(), interval)
			_, _ = w.Write([]byte(" ")) // As above.
			w.(http.Flusher).Flush()
		}
	}))
	defer server.Close()
	s := platform.NewStore(netip.MustParseAddrPort(server.Listener.Addr().String()))
	defer s.Close()
	ctx, cancel := context.WithCancel(t.Context())
	f := &Follower{
		Store: s, Table: site.TableOperator, Name: "operator", LongPoll: 100 * time.Millisecond,
		Apply: func([]site.Row, bool, time.Time) {}, OnFailure: func(_, _ time.Time) {}, OnAnswer: func(_, _ time.Time) {},
		Log: slog.New(slog.DiscardHandler), position: at(1), listed: true,
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		f.Run(ctx)
	}()
	<-started
	cancel()
	startedAt := time.Now()
	<-done
	t.Logf("ended after %v", time.Since(startedAt))
	assert.Assert(t, time.Since(startedAt) < limit, "%v", time.Since(startedAt))
}

// A reader looked at all rows of a table for each of the hundreds of calls a second of its hall.
func TestChangesSinceAVersionAreThoseOfTheRows(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rows := map[string]site.Row{}
		var order changeOrder
		version := int64(0)
		for range rapid.IntRange(1, 100).Draw(t, "changes") {
			version += rapid.Int64Range(0, 2).Draw(t, "step")
			row := site.Row{Key: fmt.Sprint("k", rapid.IntRange(0, 9).Draw(t, "key")), Position: at(version)}
			if row.Position.Before(rows[row.Key].Position) {
				continue
			}
			rows[row.Key] = row
			order = order.add(row).compact(rows)
		}
		after := rapid.Int64Range(beforeAll.Version, version).Draw(t, "after")
		got := map[string]bool{}
		for _, c := range order.since(at(after)) {
			if rows[c.key].Position == c.position {
				got[c.key] = true
			}
		}
		for key, row := range rows {
			assert.Equal(t, got[key], at(after).Before(row.Position), "%s", key)
		}
		assert.Assert(t, len(order) <= 2*len(rows))
	})
}

// inEra returns a position in an era.
func inEra(era history.Era, version int64) history.Position {
	return history.Position{Era: era, Version: version}
}

// numberedHall is a hall whose reader has configurations with numbers of their own.
func numberedHall(t *testing.T) *testHall {
	h := newTestHall(t)
	h.reader.RowNumber = func(r site.Row) int64 {
		n, _ := strconv.ParseInt(string(r.Value), 10, 64) // 0 if it has none.
		return n
	}
	return h
}

// applyConfiguration has the reader apply an answer with one configuration.
func (h *testHall) applyConfiguration(whole bool, after, p history.Position, number int) {
	rows := []site.Row{{Key: operatorKey, Position: p, Value: fmt.Append(nil, number)}}
	if number == 0 {
		rows = nil
	}
	h.reader.apply(changesRequest{Table: site.TableOperator, Whole: whole, After: after}, site.Listing{Rows: rows, Position: p}, true)
}

// servedConfiguration returns the number of the configuration that other nodes get from the reader.
func (h *testHall) servedConfiguration(t *testing.T, q changesRequest) string {
	q.Table = site.TableOperator
	a, _, _, err := h.reader.answer(q)
	assert.NilError(t, err)
	rows, err := a.Rows.unpack(nil)
	assert.NilError(t, err)
	if len(rows) == 0 {
		return ""
	}
	return string(rows[0].Value)
}

// After the store's return readers served the older configuration of the copy, and nodes that started took it.
func TestReadersServeTheOlderConfigurationOfACopy(t *testing.T) {
	h := numberedHall(t)
	whole := changesRequest{Whole: true}
	h.applyConfiguration(true, history.Position{}, inEra(1, 155), 81)
	h.applyConfiguration(true, history.Position{}, inEra(2, 151), 79)
	assert.Equal(t, h.servedConfiguration(t, whole), "81")
	h.applyConfiguration(false, inEra(2, 151), inEra(2, 152), 80)
	assert.Equal(t, h.servedConfiguration(t, changesRequest{After: inEra(2, 151)}), "81", "an older one, written again")
	h.applyConfiguration(true, history.Position{}, inEra(2, 153), 0)
	assert.Equal(t, h.servedConfiguration(t, whole), "81", "not written again yet")
	h.applyConfiguration(false, inEra(2, 153), inEra(2, 154), 84)
	assert.Equal(t, h.servedConfiguration(t, changesRequest{After: inEra(2, 153)}), "84")
	h.applyConfiguration(true, history.Position{}, inEra(1, 300), 82)
	assert.Equal(t, h.servedConfiguration(t, whole), "84", "a late answer of an earlier era")
}

// A node went on with changes since a version that the store had given out again.
func TestChangesOfAnotherEraAreNotServed(t *testing.T) {
	h := numberedHall(t)
	h.applyConfiguration(true, history.Position{}, inEra(2, 20), 81)
	a, _, _, err := h.reader.answer(changesRequest{Table: site.TableOperator, After: inEra(1, 20)})
	assert.NilError(t, err)
	assert.Assert(t, a.HistoryGone)
	_, _, _, err = h.reader.answer(changesRequest{Table: site.TableOperator, Whole: true, Era: 3})
	assert.ErrorIs(t, err, errReaderBehind, "the other node knows a later era")
}

// Two nodes had different configurations at the same position, and a delta on the one could not be decoded on the
// other.
func TestDeltaOnAnotherValueOfTheSamePositionCantBeDecoded(t *testing.T) {
	h := newTestHall(t)
	listing := func(value []byte) site.Listing {
		return site.Listing{Rows: []site.Row{{Key: operatorKey, Position: at(155), Value: value}}, Position: at(155)}
	}
	whole := changesRequest{Table: site.TableOperator, Whole: true}
	h.requester.apply(whole, listing(routesText(81, 100)), true)
	h.reader.apply(whole, listing(routesText(90, 100)), true)
	l, _, err := h.requester.fetchFromNode(t.Context(), h.server.Addr(), h.requester.addBase(site.TableOperator, whole), time.Second)
	assert.NilError(t, err)
	assert.Equal(t, string(l.Rows[0].Value), string(routesText(90, 100)))
}

// All nodes were sent their large configuration again after the store's return, though it had not changed.
func TestUnchangedConfigurationIsSentAgainInANewEra(t *testing.T) {
	h := newTestHall(t)
	value := routesText(1, 5600)
	listing := func(era history.Era) site.Listing {
		return site.Listing{Rows: []site.Row{{Key: operatorKey, Position: inEra(era, 9), Value: value}}, Position: inEra(era, 9)}
	}
	whole := changesRequest{Table: site.TableOperator, Whole: true}
	h.requester.apply(whole, listing(1), true)
	h.reader.apply(whole, listing(2), true)
	a, _, _, err := h.reader.answer(h.requester.addBase(site.TableOperator, whole))
	assert.NilError(t, err)
	t.Logf("%d of %d bytes", len(a.Rows.Data), len(value))
	assert.Assert(t, len(a.Rows.Data) < minBaseSize, "%d of %d bytes", len(a.Rows.Data), len(value))
}

// In a new era each node reads the whole list of replicas again through its reader.
func TestSizeOfTheListOfReplicasInANewEra(t *testing.T) {
	const bytesPerRow = 60 // Compressed; the address and the ID alone are some 20 bytes of random text.
	for _, c := range []struct{ nodes, replicas int }{{7, 23}, {71, 560}, {295, 2300}, {900, 6900}} {
		h := newTestHall(t)
		l := site.Listing{Position: inEra(2, 9)}
		for i := range c.replicas {
			value := fmt.Sprintf(`{"service":"huvo11a","addr":"10.%d.%d.%d:%d","zone":"leinster-a","config_version":"v1","slots":64,"state":"ready","cold_left_ms":0,"stage":"both","models":[{"name":"daka510000","config_version":1,"adapters":[]}],"order_no":%d}`,
				rand.IntN(256), rand.IntN(256), rand.IntN(256), 1024+rand.IntN(60000), rand.IntN(40))
			l.Rows = append(l.Rows, site.Row{Key: fmt.Sprintf("i-%010x", rand.Uint64()>>24), Position: inEra(2, int64(i+1)), Value: []byte(value)})
		}
		q := changesRequest{Table: site.TableUpstreams, Whole: true}
		startedAt := time.Now()
		h.reader.apply(q, l, true)
		applied := time.Since(startedAt)
		a, _, _, err := h.reader.answer(q)
		assert.NilError(t, err)
		t.Logf("%d nodes, %d replicas: %d bytes, applied in %s, packed in %s", c.nodes, c.replicas, len(a.Rows.Data), applied, time.Since(startedAt)-applied)
		assert.Assert(t, len(a.Rows.Data) < 2000+bytesPerRow*c.replicas)
	}
}

// A reader that had just started served the copy's configuration to other nodes before it knew the newer one.
func TestStartingReaderServesTheOlderConfigurationOfACopy(t *testing.T) {
	h := numberedHall(t)
	h.applyConfiguration(true, history.Position{}, inEra(1, 155), 81)
	h.applyConfiguration(true, history.Position{}, inEra(2, 151), 79)
	h.store.Rows = []site.Row{{Key: operatorKey, Position: inEra(2, 151), Value: []byte("79")}}
	h.store.Era, h.store.Version = 2, 151
	starting := h.requester
	starting.RowNumber = h.reader.RowNumber
	starting.members = control.NewMembers(starting.self, time.Second, nil, rand.New(rand.NewPCG(1, 2)))
	starting.members.Merge([]control.Member{{Name: "other", DataHall: "h", Peer: h.server.Addr(), Incarnation: 1}}, time.Now())
	q := changesRequest{Table: site.TableOperator, Whole: true}
	starting.refreshFromStore(t.Context(), q)
	a, _, _, err := starting.answer(q)
	assert.NilError(t, err)
	rows, err := a.Rows.unpack(nil)
	assert.NilError(t, err)
	assert.Equal(t, string(rows[0].Value), "81")
	starting.apply(changesRequest{Table: site.TableOperator, After: inEra(2, 151)},
		site.Listing{Rows: []site.Row{{Key: operatorKey, Position: inEra(2, 152), Value: []byte("80")}}, Position: inEra(2, 152)}, true)
	assert.Equal(t, string(starting.tables[site.TableOperator].rows[operatorKey].Value), "81", "an older one is written again")
}

// A node that started could ask the same node twice, and count two answers.
func TestStartingReaderAsksDifferentNodes(t *testing.T) {
	h := numberedHall(t)
	h.applyConfiguration(true, history.Position{}, inEra(1, 155), 81)
	h.applyConfiguration(true, history.Position{}, inEra(2, 151), 79)
	copied := []site.Row{{Key: operatorKey, Position: inEra(2, 151), Value: []byte("79")}}
	server, err := peer.NewServer(netip.MustParseAddrPort("127.0.0.1:0"), map[peer.Role]string{peer.RolePeer: "key"}, h.reader.log)
	assert.NilError(t, err)
	t.Cleanup(server.Close)
	late := NewReader(&memtable.Store{Era: 2, Version: 151, Rows: copied}, control.Member{Name: "late"}, h.requester.members, nil, h.reader.log)
	late.apply(changesRequest{Table: site.TableOperator, Whole: true}, site.Listing{Rows: copied, Position: inEra(2, 151)}, true)
	server.Handle(peer.RolePeer, MethodChanges, late.Serve)
	server.Start()
	self := h.requester.self
	members := control.NewMembers(self, time.Second, nil, rand.New(rand.NewPCG(1, 2)))
	members.Merge([]control.Member{
		{Name: "late", DataHall: self.DataHall, Peer: server.Addr(), Incarnation: 1},
		{Name: "other", DataHall: self.DataHall, Peer: h.server.Addr(), Incarnation: 1},
	}, time.Now())
	for range 20 {
		starting := NewReader(&memtable.Store{Era: 2, Version: 151, Rows: copied}, self, members, h.requester.client, h.reader.log)
		starting.RowNumber = h.reader.RowNumber
		l, err := starting.List(t.Context(), site.TableOperator)
		assert.NilError(t, err)
		assert.Equal(t, string(l.Rows[0].Value), "81")
	}
}

// The age of a copy that a node had only ever got from others overflowed, so that it counted as fresh for ever, and
// nodes without the store asked for it thousands of times a second.
func TestCopyNeverReadFromTheStoreIsNotFresh(t *testing.T) {
	h := newTestHall(t)
	q := changesRequest{Table: site.TableUpstreams, Whole: true}
	h.reader.apply(q, site.Listing{Rows: []site.Row{{Key: "a", Position: at(1)}}, Position: at(1)}, false)
	h.store.Fail = true
	_, err := h.requester.askNode(t.Context(), h.server.Addr(), changesRequest{Table: site.TableUpstreams, After: at(1), StoreUnreachable: true})
	assert.ErrorIs(t, err, errReaderBehind)
}

// A node that read through another one refused nodes that can't reach the store, as it had not read the store itself.
func TestCopyReadThroughAnotherNodeIsAsOldAsThere(t *testing.T) {
	h := newTestHall(t)
	h.store.Add("a")
	h.readStore(t)
	h.reader.mu.Lock()
	h.reader.tables[site.TableUpstreams].storeReadAt = boottime.Now().Add(-300 * time.Millisecond)
	h.reader.mu.Unlock()
	_, err := h.requester.List(t.Context(), site.TableUpstreams)
	assert.NilError(t, err)
	h.requester.recordStoreUnreachable(site.TableUpstreams) // Before it asked the reader.
	params, err := json.Marshal(changesRequest{Table: site.TableUpstreams, After: at(1), StoreUnreachable: true})
	assert.NilError(t, err)
	served, err := h.requester.Serve(t.Context(), params)
	assert.NilError(t, err)
	answer := served.(changesAnswer)
	assert.Assert(t, answer.AgeMS >= 300 && answer.AgeMS < outageMaxAge.Milliseconds(), "%d ms", answer.AgeMS)
	answer, _, _, err = h.requester.answer(changesRequest{Table: site.TableUpstreams, After: at(1)})
	assert.NilError(t, err)
	assert.Equal(t, answer.AgeMS, maxAgeTold.Milliseconds(), "as a reader it has to read the store itself")
}

// readerAnswerLimit is enough for a held call to time out on a silent connection and be
// answered by the store, plus 3 s for a busy machine.
const readerAnswerLimit = storePollWait + peer.AnswerSlack + 3*time.Second

// forEachSilentDirection runs a test for each direction in which a network path may
// silently drop packets, and for both.
func forEachSilentDirection(t *testing.T, test func(t *testing.T, silence func(*netproxy.Proxy))) {
	for name, direction := range map[string][2]bool{"to": {true, false}, "from": {false, true}, "both": {true, true}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			test(t, func(p *netproxy.Proxy) {
				assert.Equal(t, p.Silence(direction[0], direction[1], func() bool { return true }), 1)
			})
		})
	}
}

// After a reader's connection goes silent the store is asked instead, and then the
// reader again once it is trusted again.
func TestReaderIsUsedAgainAfterConnectionGoesSilent(t *testing.T) {
	forEachSilentDirection(t, func(t *testing.T, silence func(*netproxy.Proxy)) {
		h := newTestHall(t)
		h.store.Add("a")
		h.readStore(t)
		h.store.Add("b")
		_, err := h.reader.Changes(t.Context(), site.TableUpstreams, at(1), 0)
		assert.NilError(t, err)
		changes := func() {
			t.Helper()
			started := time.Now()
			l, err := h.requester.Changes(t.Context(), site.TableUpstreams, at(1), storePollWait)
			assert.NilError(t, err)
			assert.Equal(t, len(l.Rows), 1)
			assert.Assert(t, time.Since(started) < readerAnswerLimit)
		}
		changes()
		silence(h.proxy)
		before := h.store.CallCount()
		changes()
		assert.Equal(t, h.store.CallCount(), before+1)
		h.clearSkipped()
		changes()
		assert.Equal(t, h.store.CallCount(), before+1, "the reader is asked again")
	})
}
