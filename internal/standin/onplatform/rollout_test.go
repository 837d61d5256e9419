package onplatform_test

import (
	"encoding/json"
	"fmt"
	"io"
	"net/netip"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/drumpath/drumpath/internal/standin/onplatform"
)

const (
	tableStatus  = "status"
	exposure     = 0.1 // Share of the requests that a bad version may get.
	exposedSlack = 50
)

// versionedReplica is a replica of one version of the application's software.
type versionedReplica struct {
	*onplatform.Replica

	mu      sync.Mutex
	answer  func(in *onplatform.Request, count int) (status int, delay time.Duration)
	arrived int
	failed  int
}

func (s *site) startVersion(id, version string, answer func(in *onplatform.Request, count int) (int, time.Duration)) *versionedReplica {
	r := &versionedReplica{Replica: s.newReplica(id), answer: answer}
	r.Script(r.serve)
	s.listVersion(r, r.Addr(), version)
	return r
}

func (s *site) listVersion(r *versionedReplica, addr netip.AddrPort, version string) {
	row := onplatform.UpstreamRow(appService, addr, 8, "ready")
	row["config_version"] = version
	s.store.Put(onplatform.TableUpstreams, r.ID, row)
}

func (r *versionedReplica) serve(w io.Writer, in *onplatform.Request) bool {
	r.mu.Lock()
	r.arrived++
	status, delay := r.answer(in, r.arrived)
	if status >= 500 {
		r.failed++
	}
	r.mu.Unlock()
	time.Sleep(delay)
	body := "from " + r.ID
	_, err := fmt.Fprintf(w, "HTTP/1.1 %d X\r\nServer-Stamp: s\r\nRequest-Id: %s\r\nContent-Length: %d\r\n\r\n%s", status, in.ID(), len(body), body)
	return err == nil
}

func (r *versionedReplica) count() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.arrived
}

func usualAnswer(*onplatform.Request, int) (int, time.Duration) { return 200, 10 * time.Millisecond }

// order orders a version of the application to be rolled out.
func (s *site) order(version string, duration time.Duration) {
	s.store.Put(onplatform.TableOperator, "rollout/"+appService, map[string]any{
		"service": appService, "target_version": version, "duration_s": duration.Seconds(),
	})
}

// rolloutState returns the state and the version that nodes have written.
func (s *site) rolloutState() (state, version string) {
	var status struct {
		State   string `json:"state"`
		Version string `json:"target_version"`
	}
	row := s.store.Get(tableStatus, "rollout/"+appService)
	if len(row.Value) > 0 {
		assert.NilError(s.t, json.Unmarshal(row.Value, &status))
	}
	return status.State, status.Version
}

// Nothing read an operator's order to roll out a version: the new replicas got their usual share
// of the load at once, also when they failed, and no state was written.
func TestBadVersionIsRolledBackBeforeItGetsMoreThanItsShare(t *testing.T) {
	for name, c := range map[string]func(in *onplatform.Request, count int) (int, time.Duration){
		"fails often": func(_ *onplatform.Request, count int) (int, time.Duration) {
			if count%2 == 0 {
				return 500, 5 * time.Millisecond
			}
			return 200, 10 * time.Millisecond
		},
		"is slow": func(*onplatform.Request, int) (int, time.Duration) { return 200, 120 * time.Millisecond },
		"fails later": func(_ *onplatform.Request, count int) (int, time.Duration) {
			if count > 20 {
				return 500, 5 * time.Millisecond
			}
			return 200, 10 * time.Millisecond
		},
	} {
		t.Run(name, func(t *testing.T) { // Not in parallel: each puts a fleet under load.
			s := newSite(t)
			s.startVersion("old-1", "v1", usualAnswer)
			s.startVersion("old-2", "v1", usualAnswer)
			nodes := s.startNodes(3)
			s.order("v2", 10*time.Second)
			bad := s.startVersion("new-1", "v2", c)
			const perNode = 50
			end := s.startLoadPerNode(nodes, perNode, stampedRequest("GET", "/safe/x"))
			s.waitUntil("the version is rolled back", func() bool {
				state, version := s.rolloutState()
				assert.Assert(t, state != "completed")
				return state == "rolled_back" && version == "v2"
			})
			time.Sleep(time.Second)
			before := bad.count()
			time.Sleep(time.Second)
			end()
			allowed := exposure*perNode*3*10 + exposedSlack
			t.Logf("%d requests reached the bad version, %.0f are allowed", before, allowed)
			assert.Assert(t, float64(before) <= allowed)
			assert.Equal(t, bad.count(), before, "nothing is sent to it afterwards")
		})
	}
}

// A version that is not worse takes over in time, and nothing is sent to the old replicas from
// then on: they stop at once.
func TestGoodVersionTakesOverInTime(t *testing.T) {
	s := newSite(t)
	failing := func(_ *onplatform.Request, count int) (int, time.Duration) {
		if count%7 == 0 {
			return 500, 5 * time.Millisecond // The application's own failures.
		}
		return 200, 10 * time.Millisecond
	}
	old := s.startVersion("old-1", "v1", failing)
	nodes := s.startNodes(3)
	const duration = 8 * time.Second
	ordered := time.Now()
	s.order("v2", duration)
	s.startVersion("new-1", "v2", failing)
	s.startVersion("new-2", "v2", failing)
	end := s.startLoadPerNode(nodes, 40, stampedRequest("GET", "/safe/x"))
	s.waitUntil("the roll-out is running", func() bool { state, _ := s.rolloutState(); return state == "running" })
	s.waitUntil("it is completed", func() bool {
		state, _ := s.rolloutState()
		assert.Assert(t, state != "rolled_back")
		return state == "completed"
	})
	took := time.Since(ordered)
	before := old.count()
	time.Sleep(500 * time.Millisecond)
	end()
	assert.Assert(t, took < duration, "%s", took)
	assert.Equal(t, old.count(), before)
}

// A node that has just started, or that takes over, goes on from the state that is written: a
// version that was rolled back stays so.
func TestStartingNodesKeepTheStateOfARollout(t *testing.T) {
	s := newSite(t)
	old := s.startVersion("old-1", "v1", usualAnswer)
	bad := s.startVersion("new-1", "v2", func(*onplatform.Request, int) (int, time.Duration) { return 500, 0 })
	s.order("v2", 30*time.Second)
	s.store.Put(tableStatus, "rollout/"+appService, map[string]any{"service": appService, "target_version": "v2", "state": "rolled_back"})
	nodes := s.startNodes(2)
	for range 200 {
		assert.Equal(t, nodes[requestCount.Load()%2].send(request("GET", "/safe/x", "")).status, 200)
		time.Sleep(10 * time.Millisecond)
	}
	assert.Equal(t, bad.count(), 0)
	assert.Assert(t, old.count() >= 200)
	state, _ := s.rolloutState()
	assert.Equal(t, state, "rolled_back")
}

// While the store is away a bad version gets nothing more, and the state is written once the store
// is back.
func TestBadVersionGetsNothingWhileTheStoreIsAway(t *testing.T) {
	s := newSite(t)
	s.startVersion("old-1", "v1", usualAnswer)
	nodes := s.startNodes(3)
	s.order("v2", 20*time.Second)
	bad := s.startVersion("new-1", "v2", func(*onplatform.Request, int) (int, time.Duration) { return 500, 0 })
	s.waitUntil("the roll-out is running", func() bool { state, _ := s.rolloutState(); return state == "running" })
	s.store.SetMode(onplatform.ModeRefusing)
	end := s.startLoadPerNode(nodes, 60, stampedRequest("GET", "/safe/x"))
	time.Sleep(5 * time.Second)
	before := bad.count()
	time.Sleep(time.Second)
	assert.Equal(t, bad.count(), before)
	s.store.SetMode(onplatform.ModeUp)
	s.waitUntil("the state is written", func() bool { state, _ := s.rolloutState(); return state == "rolled_back" })
	end()
	t.Logf("%d requests reached the bad version", before)
	assert.Assert(t, before <= 200)
}
