package onplatform_test

import (
	"fmt"
	"io"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/drumpath/drumpath/internal/standin/onplatform"
)

// replicaRow is a replica's row as it writes it itself, with some fields replaced.
func replicaRow(service string, r *onplatform.Replica, fields map[string]any) map[string]any {
	w := onplatform.UpstreamRow(service, r.Addr(), 8, "ready")
	w["born"] = 1_700_000_000_000
	for k, v := range fields {
		if v == nil {
			delete(w, k)
			continue
		}
		w[k] = v
	}
	return w
}

func (s *site) putRow(r *onplatform.Replica, w map[string]any) {
	s.store.Put(onplatform.TableUpstreams, r.ID, w)
}

func (s *site) newReplica(id string) *onplatform.Replica {
	r, err := onplatform.NewReplica(id)
	assert.NilError(s.t, err)
	s.t.Cleanup(r.Close)
	return r
}

// reaches says whether any of some requests reaches a replica.
func (n *node) reaches(r *onplatform.Replica) bool {
	before := len(r.Received())
	for range 20 {
		n.send(request("GET", "/safe/x", ""))
	}
	return len(r.Received()) > before
}

// Symptom: operators evacuated a data hall, and requests went on to its replicas.
// Sequence: two halls serve, the node's own first; the row of the evacuation is written,
// and taken back later.
// Cause: nodes did not know of such rows.
func TestEvacuatedHallGetsNoRequestsUntilRestored(t *testing.T) {
	s := newSite(t)
	a, b := s.newReplica("a"), s.newReplica("b")
	s.putRow(a, replicaRow(appService, a, nil))
	s.putRow(b, replicaRow(appService, b, map[string]any{"zone": "hall-b"}))
	n := s.startReadyNode("n1")
	s.waitUntil("its own hall serves", func() bool { return n.reaches(a) })
	s.store.Put(onplatform.TableOperator, "evacuate/hall-a", map[string]any{})
	s.waitUntil("the evacuated hall gets nothing", func() bool { return !n.reaches(a) && n.reaches(b) })
	s.store.Put(onplatform.TableOperator, "evacuate/hall-b", "what it says does not matter")
	s.waitUntil("nobody is left", func() bool {
		got := n.send(request("GET", "/safe/x", ""))
		return got.status == 503 && got.body == `{"error":"evacuated"}`
	})
	s.store.TruncateHistory() // The whole table is read again.
	s.store.Delete(onplatform.TableOperator, "evacuate/hall-b")
	s.waitUntil("the hall that was taken back serves", func() bool { return n.reaches(b) })
	assert.Assert(t, !n.reaches(a))
	s.store.Delete(onplatform.TableOperator, "evacuate/hall-a")
	s.waitUntil("so does the other", func() bool { return n.reaches(a) })
}

// A bad row never takes a good one away.
func TestInvalidRowDoesNotUndoEvacuation(t *testing.T) {
	s := newSite(t)
	a, b := s.newReplica("a"), s.newReplica("b")
	s.putRow(a, replicaRow(appService, a, nil))
	s.putRow(b, replicaRow(appService, b, map[string]any{"zone": "hall-b"}))
	n := s.startReadyNode("n1")
	s.store.Put(onplatform.TableOperator, "evacuate/hall-a", map[string]any{})
	s.waitUntil("the evacuated hall gets nothing", func() bool { return !n.reaches(a) && n.reaches(b) })
	s.store.Put(onplatform.TableOperator, "evacuate/", map[string]any{})
	s.store.Put(onplatform.TableOperator, "evacuate/nowhere", map[string]any{})
	s.store.Put(onplatform.TableOperator, "config", "no JSON")
	s.store.Delete(onplatform.TableUpstreams, "b")
	c := s.newReplica("c")
	s.putRow(c, replicaRow(appService, c, map[string]any{"zone": "hall-b"}))
	s.waitUntil("what came behind them is used", func() bool { return n.send(request("GET", "/safe/x", "")).body == "from c" })
	assert.Assert(t, !n.reaches(a))
}

// Symptom: requests went to a replica whose row another writer had spoilt.
// Sequence: a good row, then one under the same key in which a field is missing or of
// another type.
// Cause: the last good row stayed, and fields that were missing counted as nothing.
func TestReplicaWithInvalidRowGetsNoRequests(t *testing.T) {
	for name, invalid := range map[string]map[string]any{
		"no service":         {"service": nil},
		"service of numbers": {"service": 7},
		"no address":         {"addr": nil},
		"address nowhere":    {"addr": "nowhere"},
		"no data hall":       {"zone": nil},
		"slots in text":      {"slots": "8"},
		"no slots":           {"slots": nil},
		"no state":           {"state": nil},
		"unknown state":      {"state": "resting"},
		"no cold time":       {"cold_left_ms": nil},
		"cold time in text":  {"cold_left_ms": "0"},
		"negative cold time": {"cold_left_ms": -1},
		"no count of orders": {"call_seq": nil},
		"count of a half":    {"call_seq": 0.5},
		"no software":        {"config_version": nil},
		"software of a list": {"config_version": []int{1}},
		"start of a half":    {"born": 1.5},
		"start in text":      {"born": "1700000000000"},
		"models in text":     {"models": "m0"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newSite(t)
			a, b := s.newReplica("a"), s.newReplica("b")
			s.putRow(a, replicaRow(appService, a, nil))
			s.putRow(b, replicaRow(appService, b, nil))
			n := s.startReadyNode("n1")
			s.waitUntil("both serve", func() bool { return n.reaches(a) && n.reaches(b) })
			s.putRow(b, replicaRow(appService, b, invalid))
			s.waitUntil("the spoilt one gets nothing", func() bool { return !n.reaches(b) })
			assert.Assert(t, n.reaches(a), "the other one holds")
			s.putRow(b, replicaRow(appService, b, nil))
			s.waitUntil("it is back with a good row", func() bool { return n.reaches(b) })
		})
	}
}

// Symptom: a replica that had started again under its ID was asked for weights that it had
// lost, and refused each request.
// Sequence: it answers on version 2; it starts again and its row says version 1.
// Cause: what answers had told counted as newer than the row, whichever start it was of.
func TestRestartedReplicaHasTheWeightsOfItsRow(t *testing.T) {
	s := newSite(t)
	e := s.newReplica("e")
	models := func(version int) []map[string]any {
		return []map[string]any{{"name": model, "config_version": version}}
	}
	s.putRow(e, replicaRow(llmService, e, map[string]any{"models": models(1)}))
	e.Script(onplatform.Raw("HTTP/1.1 200 OK\r\nServer-Stamp: s\r\nRequest-Id: %ID%\r\nVersions: 2\r\nContent-Length: 2\r\n\r\nok", true))
	n := s.startReadyNode("n1")
	expected := func() string {
		n.send(request("POST", "/prompt/x", "b", "Model: "+model, "Prefix-Hash: p1:100,p2:50", "Token-Usage: 150,10"))
		seen := e.Received()
		if len(seen) == 0 {
			return ""
		}
		return seen[len(seen)-1].Header.Get("Expect-Version")
	}
	s.waitUntil("its answers tell of version 2", func() bool { return expected() == "2" })
	e.Script(onplatform.OK("ok"))
	s.putRow(e, replicaRow(llmService, e, map[string]any{"models": models(1), "born": 1_700_000_009_000}))
	s.waitUntil("the new start has version 1", func() bool { return expected() == "1" })
	s.putRow(e, replicaRow(llmService, e, map[string]any{"models": models(2), "born": 1_700_000_000_000}))
	s.startReplica(appService, "later")
	s.waitUntil("later rows are heard", func() bool { return n.send(request("GET", "/safe/x", "")).status == 200 })
	assert.Equal(t, expected(), "1", "a row of an older start is void")
}

// Symptom: a replica that had come back cold got more requests in a second than it bears.
// Sequence: four nodes, a cold replica beside a warm one, more load than both are to get.
// Cause: its row's word of that was a price only.
func TestColdReplicaGetsNoMoreThanItsColdRate(t *testing.T) {
	s := newSite(t)
	s.appFields = map[string]any{"cold_s": 3.0, "cold_per_s": 10.0}
	s.configure()
	a := s.newReplica("a")
	var mu sync.Mutex
	var arrived []time.Time
	a.Script(func(w io.Writer, r *onplatform.Request) bool {
		mu.Lock()
		arrived = append(arrived, time.Now())
		mu.Unlock()
		return onplatform.OK("from a")(w, r)
	})
	s.putRow(a, replicaRow(appService, a, map[string]any{"cold_left_ms": 3000}))
	var nodes []*node
	for i := range 4 {
		nodes = append(nodes, s.startReadyNode(fmt.Sprintf("n%d", i)))
	}
	start := time.Now()
	var served, refused atomic.Int64
	var wg sync.WaitGroup
	for _, n := range nodes {
		wg.Go(func() {
			for time.Since(start) < 2*time.Second {
				switch got := n.send(request("GET", "/safe/x", "")); got.status {
				case 200:
					served.Add(1)
				case 503:
					refused.Add(1)
					assert.Check(t, got.header.Get("Retry-After") != "")
				default:
					t.Errorf("status %d", got.status)
				}
				time.Sleep(10 * time.Millisecond)
			}
		})
	}
	wg.Wait()
	mu.Lock()
	defer mu.Unlock()
	const bound = 15 // 10 a second, times 1.5.
	for i := range arrived {
		n := 0
		for _, at := range arrived[i:] {
			if at.Sub(arrived[i]) < time.Second {
				n++
			}
		}
		assert.Assert(t, n <= bound, "%d requests in one second", n)
	}
	assert.Assert(t, refused.Load() > 0)
	assert.Assert(t, served.Load() > 0, "what it bears is used")
}

// Symptom: requests ran outside the regions that operators allow.
// Sequence: replicas in two regions; a route with homes, an organisation with others.
// Cause: nodes did not read where requests may run.
func TestRequestsRunOnlyInAllowedRegions(t *testing.T) {
	s := newSite(t)
	s.regions = `{"hall-a": "one", "hall-b": "two", "hall-c": "three"}`
	s.tenants = append(s.tenants, map[string]any{"name": "at-home", "api_keys": []string{"key-home"}, "allowed_regions": []string{"two"}})
	regionalRoute := map[string]any{"name": "homed", "host": host, "path_prefix": "/homed/", "kind": "idempotent", "timeout_ms": 4000, "service": appService, "max_attempts": 2, "allowed_regions": []string{"two", "three"}}
	s.routes = append(s.routes, regionalRoute)
	s.configure()
	a, b := s.newReplica("a"), s.newReplica("b")
	s.putRow(a, replicaRow(appService, a, nil))
	n := s.startReadyNode("n1")
	assertRefused := func(text string) {
		got := n.send(text)
		assert.Equal(t, got.status, 503)
		assert.Equal(t, got.body, `{"error":"outside_homes"}`)
		assert.Assert(t, got.header.Get("Retry-After") != "")
	}
	asOrganisation := func(target string) string {
		return strings.Replace(request("GET", target, ""), "Bearer "+key, "Bearer key-home", 1)
	}
	assert.Equal(t, n.send(request("GET", "/safe/x", "")).status, 200)
	assertRefused(request("GET", "/homed/x", ""))
	assertRefused(asOrganisation("/safe/x"))
	s.putRow(b, replicaRow(appService, b, map[string]any{"zone": "hall-b"}))
	for _, text := range []func() string{
		func() string { return request("GET", "/homed/x", "") },
		func() string { return asOrganisation("/safe/x") },
		func() string { return asOrganisation("/homed/x") },
	} {
		s.waitUntil("the replica at home serves", func() bool { return n.send(text()).body == "from b" })
	}
	regionalRoute["allowed_regions"] = []string{"three"}
	s.configure()
	s.waitUntil("route and organisation have no region in common", func() bool {
		return n.send(asOrganisation("/homed/x")).body == `{"error":"outside_homes"}`
	})
	assert.Equal(t, len(a.Received()), 1)
}
