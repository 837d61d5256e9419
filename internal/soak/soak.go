package soak

import (
	"cmp"
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

// Config sets the size and duration of a soak.
type Config struct {
	Program  string // The program under test.
	Seed     uint64
	Nodes    int
	Replicas int
	Clients  int
	Engines  int
	Duration time.Duration // How long faults are injected.
	Rounds   int           // Of naming weights after that, while only processes are disturbed.
	Dir      string        // Receives the settings and logs of the nodes.
	// RouteTimeout is the timeout of the routes, 0 for defaultRouteTimeout.
	RouteTimeout time.Duration
	// MemoryMB is the limit of the memory of each node, 0 for none.
	MemoryMB int
}

const defaultRouteTimeout = 4 * time.Second

// Report is the result of a soak; Broken lists the violated guarantees.
type Report struct {
	Seed    uint64 `json:"seed"`
	Sent    int    `json:"sent"`
	Served  int    `json:"served"`
	Refused int    `json:"refused"` // Answered with a status that says the request did not run.
	Failed  int    `json:"failed"`
	Begun   int    `json:"streams_begun"` // Of the kind that clients take up again.
	TakenUp int    `json:"streams_taken_up"`
	WentOn  int    `json:"streams_went_on"` // Of those taken up.
	// Prompts that began, those that began on weights that had been replaced, and those that began too late, sent by
	// nodes that had been disturbed and by others.
	Prompts         int            `json:"prompts"`
	PromptsReplaced int            `json:"prompts_on_replaced_weights"`
	PromptsExcused  int            `json:"prompts_too_late_excused"`
	PromptsLate     int            `json:"prompts_too_late"`
	Namings         int            `json:"weights_named"`
	Faults          map[string]int `json:"faults"`
	Broken          []string       `json:"broken"`
}

const (
	tenant  = "org-one"
	service = "app"
	// clientPause is the mean pause between two requests of a client.
	clientPause = 30 * time.Millisecond
	// recoveryTimeout is how long after the last fault all nodes must serve again: the
	// recovery time of the users' sites plus slack for a busy machine.
	recoveryTimeout = 20 * time.Second
	// settleTime is how long replicas may still run requests after the last answer.
	settleTime   = 500 * time.Millisecond
	pollInterval = 100 * time.Millisecond
)

// soak is the state of one run.
type soak struct {
	cfg     Config
	store   *onplatform.Store
	checker *checker
	nodes   []*node
	engines []*engine
	weights weightsCheck

	namingMu     sync.Mutex
	weightsNamed int64 // The newest version.

	returnMu sync.Mutex // Held while the store comes back from a copy.

	mu           sync.Mutex
	replicas     []*replica
	retired      []*replica
	replicasMade int
	software     string // The version of new replicas; they have several if it is empty.
	version      int    // Of the newest configuration.
	faultCounts  map[string]int
	crashes      map[string]int // How many replicas have crashed under a body or a part of prompts.
}

// Run runs one soak and reports what it found.
func Run(ctx context.Context, cfg Config) (rep Report, err error) {
	defer func() { err = eris.Wrapf(err, "soak with seed %d", cfg.Seed) }()
	s, err := start(cfg)
	if err != nil {
		return rep, err
	}
	defer s.stopAll()
	stopClients := s.startClients(ctx)
	s.injectFaults(ctx)
	s.runRounds()
	if !s.waitUntilServing() {
		s.checker.addViolation("not all nodes serve by the newest configuration %s after the faults", recoveryTimeout)
	}
	stopClients()
	return s.report(), nil
}

// start starts the stand-ins and the nodes, and waits until these serve.
func start(cfg Config) (s *soak, err error) {
	s = &soak{cfg: cfg, checker: newChecker(), faultCounts: map[string]int{}, crashes: map[string]int{}, weightsNamed: firstWeights}
	if err := s.startAll(); err != nil {
		s.stopAll()
		return nil, err
	}
	if !s.waitUntilServing() {
		s.stopAll()
		return nil, eris.New("not all nodes served requests in time")
	}
	return s, nil
}

// startClients starts the clients; stop waits until they have ended.
func (s *soak) startClients(ctx context.Context) (stop func()) {
	clientCtx, stopClients := context.WithCancel(ctx)
	var clients sync.WaitGroup
	lastID := &atomic.Int64{}
	for i := range s.cfg.Clients {
		c := &client{soak: s, rng: rand.New(rand.NewPCG(s.cfg.Seed, uint64(i))), lastID: lastID}
		clients.Go(func() { c.run(clientCtx, clientPause) })
	}
	return func() {
		stopClients()
		clients.Wait()
	}
}

// report checks all that was observed, after the clients have ended.
func (s *soak) report() (rep Report) {
	time.Sleep(settleTime)
	s.checker.checkAll()
	if v := s.weights.violation(); v != "" {
		s.checker.addViolation("%s", v)
	}
	rep = s.checker.summary()
	rep.Seed, rep.Faults, rep.Broken = s.cfg.Seed, s.faultCounts, s.checker.violations
	s.weights.summarize(&rep)
	return rep
}

// startAll starts the stand-ins and then the nodes.
func (s *soak) startAll() (err error) {
	if s.store, err = onplatform.NewStore(); err != nil {
		return err
	}
	s.writeConfiguration()
	for range s.cfg.Replicas {
		r, err := s.newReplica()
		if err != nil {
			return err
		}
		s.replicas = append(s.replicas, r)
		s.writeReplicaRow(r, "ready")
	}
	for i := range s.cfg.Engines {
		e, err := s.newEngine(fmt.Sprintf("engine-%d", i))
		if err != nil {
			return err
		}
		s.engines = append(s.engines, e)
	}
	for i := range s.cfg.Nodes {
		p, err := netproxy.New(s.store.Addr())
		if err != nil {
			return err
		}
		ip := fmt.Sprintf("127.%d.%d.%d", 32+os.Getpid()%32, (s.cfg.Seed+uint64(os.Getpid()/32))%250+1, i+1)
		n, err := newNode(s.cfg.Dir, fmt.Sprintf("node-%d", i), ip, s.cfg.Program, s.cfg.MemoryMB, p, s.checker.addViolation)
		if err != nil {
			return err
		}
		s.nodes = append(s.nodes, n)
	}
	return nil
}

// stopAll stops everything that startAll and the faults have started.
func (s *soak) stopAll() {
	for _, n := range s.nodes {
		n.killForGood()
	}
	for _, r := range append(s.replicas, s.retired...) {
		r.close()
	}
	for _, e := range s.engines {
		e.close()
	}
	if s.store != nil {
		s.store.Close()
	}
}

// recordStartError records as a violation that a process could not be restarted or its settings
// not be written.
func (s *soak) recordStartError(err error) {
	if err != nil {
		s.checker.addViolation("process not started: %v", err)
	}
}

// injectFaults injects random faults for the duration of the soak and waits until the
// last one is over.
func (s *soak) injectFaults(ctx context.Context) {
	rng := rand.New(rand.NewPCG(s.cfg.Seed, 1<<32))
	end := time.Now().Add(s.cfg.Duration)
	var wg sync.WaitGroup
	for time.Now().Before(end) && ctx.Err() == nil {
		next := faults[rng.IntN(len(faults))]
		d := minFaultTime + time.Duration(rng.Int64N(int64(maxFaultTime-minFaultTime)))
		faultRNG := rand.New(rand.NewPCG(rng.Uint64(), rng.Uint64()))
		s.faultCounts[next.name]++
		wg.Go(func() { s.inject(next, faultRNG, d) })
		time.Sleep(time.Duration(rng.ExpFloat64() * float64(meanFaultPause)))
	}
	wg.Wait()
}

func (s *soak) inject(f fault, rng *rand.Rand, d time.Duration) {
	if f.disrupts {
		defer s.weights.startDisruption()()
	}
	f.inject(s, rng, d)
}

// writeReplicaRow lists a replica in the store with the given state.
func (s *soak) writeReplicaRow(r *replica, state string) {
	row := onplatform.UpstreamRow(service, r.proxy.Addr(), 32, state)
	row["config_version"] = r.version
	s.store.Put(onplatform.TableUpstreams, r.ID, row)
}

// writeConfiguration writes a new configuration version. One of its routes is named
// after the version, so that a request shows whether a node uses it.
func (s *soak) writeConfiguration() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	engine := map[string]any{
		"slots": engineSlots, "kv_capacity_tokens": 400_000, "kv_token_bytes": 1000, "link_mbps": 10_000,
		"models": []map[string]any{{"name": model}},
	}
	route := func(name, kind string, attempts int) map[string]any {
		return map[string]any{
			"name": name, "host": host, "path_prefix": "/" + name + "/", "kind": kind, "timeout_ms": cmp.Or(s.cfg.RouteTimeout, defaultRouteTimeout).Milliseconds(),
			"target_latency_ms": 300, "service": service, "max_attempts": attempts, "priority": 1,
		}
	}
	s.store.Put(onplatform.TableOperator, "config", map[string]any{
		"config_version": s.version,
		"routes": []map[string]any{
			route(kindOnce, "non_idempotent", 1), route(kindSafe, "idempotent", 2), route(kindStream, "streaming", 1),
			resumable(route(kindResume, "streaming", 2)),
			route(versionRoute(s.version), "idempotent", 2),
			promptRoute(route(kindPrompt, "streaming", 1)),
		},
		"services": []map[string]any{
			{"name": service, "health_path": "/healthz", "max_conns": 500},
			{"name": engineService, "health_path": "/healthz", "max_conns": 500, "engine": engine},
		},
		"limits":  map[string]any{"max_header_bytes": 8192, "max_body_bytes": 1 << 20, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []map[string]any{{"name": tenant, "api_keys": []string{key}}},
	})
}

func resumable(route map[string]any) map[string]any {
	route["resumable"] = true
	return route
}

func promptRoute(route map[string]any) map[string]any {
	route["service"], route["sticky"] = engineService, true
	return route
}

func versionRoute(version int) string { return fmt.Sprintf("version-%d", version) }

// waitUntilServing waits until every node serves the route of the newest configuration;
// it returns false after recoveryTimeout.
func (s *soak) waitUntilServing() bool {
	s.mu.Lock()
	path := "/" + versionRoute(s.version) + "/x"
	s.mu.Unlock()
	end := time.Now().Add(recoveryTimeout)
	for _, n := range s.nodes {
		for !s.serves(n, path) {
			if time.Now().After(end) {
				return false
			}
			time.Sleep(pollInterval)
		}
	}
	return true
}

func (s *soak) serves(n *node, path string) bool {
	id := fmt.Sprintf("check-%d", rand.Uint64())
	req, err := http.NewRequest(http.MethodPost, "http://"+n.entry()+path, strings.NewReader(reqBody(id, 10)))
	if err != nil {
		return false
	}
	req.Host = host
	req.Close = true
	for name, value := range map[string]string{"Request-Id": id, "Authorization": "Bearer " + key, "Deadline-Ms": "1000"} {
		req.Header.Set(name, value)
	}
	resp, err := (&http.Client{Timeout: readTimeout}).Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close() // The status is enough.
	return resp.StatusCode == http.StatusOK
}
