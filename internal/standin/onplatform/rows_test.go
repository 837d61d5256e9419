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

// replicaRow returns the row that a replica writes about itself, with some fields replaced, or
// removed if nil.
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

// reaches reports whether any of 20 requests reaches the replica.
func (n *node) reaches(r *onplatform.Replica) bool {
	before := len(r.Received())
	for range 20 {
		n.send(request("GET", "/safe/x", ""))
	}
	return len(r.Received()) > before
}

// Requests went on to replicas of an evacuated data hall, because nodes did not read the rows
// under evacuate/. The halls are evacuated one after the other, the node's own first, and
// restored.
func TestEvacuatedHallGetsNoRequestsUntilRestored(t *testing.T) {
	s := newSite(t)
	a, b := s.newReplica("a"), s.newReplica("b")
	s.putRow(a, replicaRow(appService, a, nil))
	s.putRow(b, replicaRow(appService, b, map[string]any{"zone": "hall-b"}))
	n := s.startReadyNode("n1")
	s.waitUntil("the node's own hall serves", func() bool { return n.reaches(a) })
	s.store.Put(onplatform.TableOperator, "evacuate/hall-a", map[string]any{})
	s.waitUntil("the evacuated hall gets nothing", func() bool { return !n.reaches(a) && n.reaches(b) })
	s.store.Put(onplatform.TableOperator, "evacuate/hall-b", "what it says does not matter")
	s.waitUntil("no replica is left", func() bool {
		got := n.send(request("GET", "/safe/x", ""))
		return got.status == 503 && got.body == `{"error":"evacuated"}`
	})
	s.store.TruncateHistory() // Makes the node read the whole table again.
	s.store.Delete(onplatform.TableOperator, "evacuate/hall-b")
	s.waitUntil("the restored hall serves", func() bool { return n.reaches(b) })
	assert.Assert(t, !n.reaches(a))
	s.store.Delete(onplatform.TableOperator, "evacuate/hall-a")
	s.waitUntil("the other restored hall serves", func() bool { return n.reaches(a) })
}

// An invalid row that is written later must not undo an evacuation or hide rows after it.
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
	s.waitUntil("a row written after them is used", func() bool { return n.send(request("GET", "/safe/x", "")).body == "from c" })
	assert.Assert(t, !n.reaches(a))
}

// Another writer overwrote a replica's row with one in which a field is missing or has the wrong
// type, and requests went on to the replica: the last valid row stayed in use, or missing fields
// counted as zero.
func TestReplicaWithInvalidRowGetsNoRequests(t *testing.T) {
	for name, invalid := range map[string]map[string]any{
		"no service":               {"service": nil},
		"service as number":        {"service": 7},
		"no address":               {"addr": nil},
		"invalid address":          {"addr": "nowhere"},
		"no data hall":             {"zone": nil},
		"slots as text":            {"slots": "8"},
		"no slots":                 {"slots": nil},
		"no state":                 {"state": nil},
		"unknown state":            {"state": "resting"},
		"no cold time":             {"cold_left_ms": nil},
		"cold time as text":        {"cold_left_ms": "0"},
		"negative cold time":       {"cold_left_ms": -1},
		"no order count":           {"call_seq": nil},
		"fractional order count":   {"call_seq": 0.5},
		"no software version":      {"config_version": nil},
		"software version as list": {"config_version": []int{1}},
		"fractional start time":    {"born": 1.5},
		"start time as text":       {"born": "1700000000000"},
		"models as text":           {"models": "m0"},
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
			s.waitUntil("the replica with the invalid row gets no requests", func() bool { return !n.reaches(b) })
			assert.Assert(t, n.reaches(a), "the other replica serves")
			s.putRow(b, replicaRow(appService, b, nil))
			s.waitUntil("it serves again once its row is valid", func() bool { return n.reaches(b) })
		})
	}
}

// A replica answered with weights of version 2, then restarted under the same ID with version 1
// in its row. Requests still expected version 2 and were refused, because versions learnt from
// answers counted as newer than the row even across a restart.
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
	s.waitUntil("the node has learnt version 2 from answers", func() bool { return expected() == "2" })
	e.Script(onplatform.OK("ok"))
	s.putRow(e, replicaRow(llmService, e, map[string]any{"models": models(1), "born": 1_700_000_009_000}))
	s.waitUntil("the restarted replica has version 1", func() bool { return expected() == "1" })
	s.putRow(e, replicaRow(llmService, e, map[string]any{"models": models(2), "born": 1_700_000_000_000}))
	s.startReplica(appService, "later")
	s.waitUntil("later rows are in force", func() bool { return n.send(request("GET", "/safe/x", "")).status == 200 })
	assert.Equal(t, expected(), "1", "a row of an older start is ignored")
}

// A replica that had come back cold got more requests a second than the configured cold rate,
// because nodes only preferred other replicas to it and enforced no limit. Four nodes send more
// load than a cold replica alone may get.
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
	assert.Assert(t, served.Load() > 0, "the cold rate is used")
}

// Requests ran outside the regions that operators allow for a route or an organisation, because
// nodes did not read these settings.
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
		s.waitUntil("the replica in the allowed region serves", func() bool { return n.send(text()).body == "from b" })
	}
	regionalRoute["allowed_regions"] = []string{"three"}
	s.configure()
	s.waitUntil("route and organisation have no region in common", func() bool {
		return n.send(asOrganisation("/homed/x")).body == `{"error":"outside_homes"}`
	})
	assert.Equal(t, len(a.Received()), 1)
}
