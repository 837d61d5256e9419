package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/drumpath/drumpath/internal/netproxy"
	"github.com/drumpath/drumpath/internal/standin/onplatform"
)

// Config says what a soak runs and for how long.
type Config struct {
	Program  string // The program under test.
	Seed     uint64
	Nodes    int
	Replicas int
	Clients  int
	Duration time.Duration // Of the faults.
	Dir      string        // For settings and logs of the nodes.
}

// Report is what a soak found; Broken is empty if all promises were kept.
type Report struct {
	Seed    uint64         `json:"seed"`
	Sent    int            `json:"sent"`
	Served  int            `json:"served"`
	Refused int            `json:"refused"` // Told that they did not run.
	Failed  int            `json:"failed"`
	Faults  map[string]int `json:"faults"`
	Broken  []string       `json:"broken"`
}

const (
	tenant  = "org-one"
	service = "app"
	// clientPause is the mean pause of a client between two requests.
	clientPause = 30 * time.Millisecond
	// recoverTime is by when all nodes must serve again once the faults are
	// over: the recovery time of the users' sites, and more for a busy machine.
	recoverTime = 20 * time.Second
	// settleTime is how long runs may go on behind the last answer.
	settleTime = 500 * time.Millisecond
	askEvery   = 100 * time.Millisecond
)

// soak is one run.
type soak struct {
	cfg    Config
	store  *onplatform.Store
	ledger *ledger
	nodes  []*node

	mu       sync.Mutex
	replicas []*replica
	gone     []*replica
	made     int
	version  int // Of the configuration.
	done     map[string]int
	ended    map[string]int // Replicas that ended under a request, by its body.
}

// Run runs one soak.
func Run(ctx context.Context, cfg Config) (rep Report, err error) {
	defer func() { err = eris.Wrapf(err, "soak with seed %d", cfg.Seed) }()
	s := &soak{cfg: cfg, ledger: newLedger(), done: map[string]int{}, ended: map[string]int{}}
	defer s.end()
	if err := s.begin(); err != nil {
		return rep, err
	}
	if !s.serving() {
		return rep, eris.New("not all nodes served requests in time")
	}
	load, stop := context.WithCancel(ctx)
	var clients sync.WaitGroup
	ids := &atomic.Int64{}
	for i := range cfg.Clients {
		c := &client{s: s, rng: rand.New(rand.NewPCG(cfg.Seed, uint64(i))), ids: ids}
		clients.Go(func() { c.run(load, clientPause) })
	}
	s.harm(ctx)
	if !s.serving() {
		s.ledger.fail("not all nodes serve by the newest configuration %s after the faults", recoverTime)
	}
	stop()
	clients.Wait()
	time.Sleep(settleTime)
	s.ledger.judge()
	rep = s.ledger.count()
	rep.Seed, rep.Faults, rep.Broken = cfg.Seed, s.done, s.ledger.broken
	return rep, nil
}

// begin starts the stand-ins and the nodes.
func (s *soak) begin() (err error) {
	if s.store, err = onplatform.NewStore(); err != nil {
		return err
	}
	s.configure()
	for range s.cfg.Replicas {
		r, err := s.newReplica()
		if err != nil {
			return err
		}
		s.replicas = append(s.replicas, r)
		s.list(r, "ready")
	}
	for i := range s.cfg.Nodes {
		p, err := netproxy.New(s.store.Addr())
		if err != nil {
			return err
		}
		ip := fmt.Sprintf("127.%d.%d.%d", 32+os.Getpid()%32, s.cfg.Seed%250+1, i+1)
		n, err := newNode(s.cfg.Dir, fmt.Sprintf("node-%d", i), ip, s.cfg.Program, p, s.ledger.fail)
		if err != nil {
			return err
		}
		s.nodes = append(s.nodes, n)
	}
	return nil
}

// end ends all that was started.
func (s *soak) end() {
	for _, n := range s.nodes {
		n.end()
	}
	for _, r := range append(s.replicas, s.gone...) {
		r.close()
	}
	if s.store != nil {
		s.store.Close()
	}
}

// note tells of a process that could not be started again.
func (s *soak) note(err error) {
	if err != nil {
		s.ledger.fail("process not started: %v", err)
	}
}

// harm brings faults about for the time of the soak and waits until they are
// over.
func (s *soak) harm(ctx context.Context) {
	rng := rand.New(rand.NewPCG(s.cfg.Seed, 1<<32))
	end := time.Now().Add(s.cfg.Duration)
	var wg sync.WaitGroup
	for time.Now().Before(end) && ctx.Err() == nil {
		f := faults[rng.IntN(len(faults))]
		d := faultLeast + time.Duration(rng.Int64N(int64(faultMost-faultLeast)))
		own := rand.New(rand.NewPCG(rng.Uint64(), rng.Uint64()))
		s.done[f.name]++
		wg.Go(func() { f.do(s, own, d) })
		time.Sleep(time.Duration(rng.ExpFloat64() * float64(faultEvery)))
	}
	wg.Wait()
}

// list writes a replica's entry.
func (s *soak) list(r *replica, state string) {
	s.store.Put(onplatform.TableUpstreams, r.ID, onplatform.UpstreamRow(service, r.proxy.Addr(), 32, state))
}

// configure writes a new configuration, with a route that only it has.
func (s *soak) configure() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	route := func(name, kind string, attempts int) map[string]any {
		return map[string]any{
			"name": name, "host": host, "path_prefix": "/" + name + "/", "kind": kind, "timeout_ms": 4000,
			"target_latency_ms": 300, "service": service, "max_attempts": attempts, "priority": 1,
		}
	}
	s.store.Put(onplatform.TableOperator, "config", map[string]any{
		"config_version": s.version,
		"routes": []map[string]any{
			route(kindOnce, "non_idempotent", 1), route(kindSafe, "idempotent", 2), route(kindStream, "streaming", 1),
			route(newestRoute(s.version), "idempotent", 2),
		},
		"services": []map[string]any{{"name": service, "health_path": "/healthz", "max_conns": 500}},
		"limits":   map[string]any{"max_header_bytes": 8192, "max_body_bytes": 1 << 20, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants":  []map[string]any{{"name": tenant, "api_keys": []string{key}}},
	})
}

func newestRoute(version int) string { return fmt.Sprintf("version-%d", version) }

// serving waits until every node serves the route of the newest configuration.
func (s *soak) serving() bool {
	s.mu.Lock()
	path := "/" + newestRoute(s.version) + "/x"
	s.mu.Unlock()
	end := time.Now().Add(recoverTime)
	for _, n := range s.nodes {
		for !s.serves(n, path) {
			if time.Now().After(end) {
				return false
			}
			time.Sleep(askEvery)
		}
	}
	return true
}

func (s *soak) serves(n *node, path string) bool {
	id := fmt.Sprintf("check-%d", rand.Uint64())
	req, err := http.NewRequest(http.MethodPost, "http://"+n.entry()+path, strings.NewReader(bodyOf(id, 10)))
	if err != nil {
		return false
	}
	req.Host = host
	req.Close = true
	for name, value := range map[string]string{"Request-Id": id, "Authorization": "Bearer " + key, "Deadline-Ms": "1000"} {
		req.Header.Set(name, value)
	}
	resp, err := (&http.Client{Timeout: readTime}).Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close() // The status is enough.
	return resp.StatusCode == http.StatusOK
}
