package onplatform_test

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"net"
	"net/http"
	"net/netip"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/drumpath/drumpath/internal/netproxy"
	"github.com/drumpath/drumpath/internal/standin/onplatform"
	"github.com/drumpath/drumpath/pkg/config"
	"github.com/drumpath/drumpath/platform"
	"github.com/drumpath/drumpath/service/gateway"
)

const (
	host        = "boards.example"
	key         = "key-one"
	appService  = "app"
	llmService  = "llm"
	model       = "m0"
	waitTimeout = 20 * time.Second // How long waitUntil waits before it fails the test.
)

// site is a store and replicas of the platform, and the settings of the nodes in front of them.
type site struct {
	t             *testing.T
	store         *onplatform.Store
	version       int
	routes        []map[string]any
	tenants       []map[string]any
	limits        map[string]any
	appFields     map[string]any   // Further fields of the service appService.
	engineFields  map[string]any   // Further fields of the engines of llmService.
	regions       string           // Regions of the data halls, as JSON; "" for none.
	extraServices []map[string]any // Services besides appService and llmService.
	log           *slog.Logger
	storeProxy    *netproxy.Proxy // Between nodes and store, nil for none.
}

func newSite(t *testing.T) *site {
	store, err := onplatform.NewStore()
	assert.NilError(t, err)
	t.Cleanup(store.Close)
	s := &site{t: t, store: store, log: slog.New(slog.DiscardHandler)}
	s.routes = []map[string]any{
		{"name": "once", "host": host, "path_prefix": "/once/", "kind": "non_idempotent", "timeout_ms": 4000, "target_latency_ms": 150, "service": appService, "max_attempts": 1, "priority": 2},
		{"name": "safe", "host": host, "path_prefix": "/safe/", "kind": "idempotent", "timeout_ms": 4000, "target_latency_ms": 150, "service": appService, "max_attempts": 2, "priority": 2},
		{"name": "resume", "host": host, "path_prefix": "/resume/", "kind": "streaming", "timeout_ms": 6000, "target_latency_ms": 300, "service": appService, "max_attempts": 2, "resumable": true},
		{"name": "stream", "host": host, "path_prefix": "/stream/", "kind": "streaming", "timeout_ms": 6000, "target_latency_ms": 300, "service": appService, "max_attempts": 1},
		{"name": "short", "host": host, "path_prefix": "/short/", "kind": "idempotent", "timeout_ms": 300, "target_latency_ms": 100, "service": appService, "max_attempts": 2},
		{"name": "prompt", "host": host, "path_prefix": "/prompt/", "kind": "streaming", "timeout_ms": 4000, "target_latency_ms": 500, "service": llmService, "max_attempts": 1, "sticky": true},
		{"name": "patient", "host": host, "path_prefix": "/patient/", "kind": "streaming", "timeout_ms": 60000, "target_latency_ms": 500, "service": llmService, "max_attempts": 1, "sticky": true},
	}
	s.tenants = []map[string]any{{"name": "org-one", "api_keys": []string{key}}, {"name": "org-two", "api_keys": []string{"key-two"}, "isolated": true}}
	s.limits = map[string]any{"max_header_bytes": 4096, "max_body_bytes": 1 << 20, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}
	s.configure()
	return s
}

// configure writes the site's configuration with the next version.
func (s *site) configure() {
	s.version++
	engine := map[string]any{
		"slots": 8, "kv_capacity_tokens": 40000, "kv_token_bytes": 1000, "link_mbps": 10000.0, "managed": true,
		"models": []map[string]any{{"name": model}},
	}
	maps.Copy(engine, s.engineFields)
	services := []map[string]any{
		s.appConfig(),
		{"name": llmService, "health_path": "/healthz", "max_conns": 100, "engine": engine},
	}
	s.store.Put(onplatform.TableOperator, "config", map[string]any{
		"config_version": s.version, "routes": s.routes, "services": append(services, s.extraServices...), "limits": s.limits, "tenants": s.tenants,
	})
}

func (s *site) appConfig() map[string]any {
	v := map[string]any{"name": appService, "health_path": "/healthz", "max_conns": 100}
	maps.Copy(v, s.appFields)
	return v
}

// startReplica starts a replica of a service and writes its row.
func (s *site) startReplica(service, id string) *onplatform.Replica {
	r, err := onplatform.NewReplica(id)
	assert.NilError(s.t, err)
	s.t.Cleanup(r.Close)
	s.listReplica(service, r, "ready", 1)
	return r
}

func (s *site) listReplica(service string, r *onplatform.Replica, state string, weights int) {
	s.listReplicaAt(service, r, r.Addr(), state, weights)
}

// listReplicaAt writes the row of a replica that nodes reach at another address.
func (s *site) listReplicaAt(service string, r *onplatform.Replica, addr netip.AddrPort, state string, weights int) {
	row := onplatform.UpstreamRow(service, addr, 8, state)
	if service == llmService {
		row["models"] = []map[string]any{{"name": model, "config_version": weights}}
	}
	s.store.Put(onplatform.TableUpstreams, r.ID, row)
}

var nextIP atomic.Int32

// uniqueIP returns a loopback address that no other test uses.
func uniqueIP() string {
	n := nextIP.Add(1)
	return fmt.Sprintf("127.%d.%d.%d", 64+os.Getpid()%128, 1+n/200, 1+n%200)
}

// node is a gateway node under test.
type node struct {
	*gateway.Gateway
	site      *site
	settings  config.GatewaySettings
	entry     string
	ready     string
	directory string
	closeOnce sync.Once
}

func (s *site) settings(name string) config.GatewaySettings {
	ip := uniqueIP()
	store := s.store.Addr()
	if s.storeProxy != nil {
		store = s.storeProxy.Addr()
	}
	text := fmt.Sprintf(`{
		"node": {"name": %q, "data_hall": "hall-a"},
		"entry": {"listen": "%[2]s:8001", "ready": "%[2]s:8002", "directory": "%[2]s:8003", "max_age": "1s"},
		"peer": {"listen": "%[2]s:8004", "key": "test-key-1"},
		"platform": {"store": %[3]q, "hold": "300ms", "return_time": "600ms"},
		"retry": {"share": 0.2, "window": "10s", "slack": 6400},
		"stop": {"grace": "5s"},
		"orders": {"pause": "300ms", "within": "10s"},
		"runs": {"handoff": true, "backups": true},
		"regions": %[4]s,
		"log": {"level": "error"}
	}`, name, ip, store.String(), cmp.Or(s.regions, "{}"))
	settings, err := config.ParseGateway([]byte(text))
	assert.NilError(s.t, err)
	return settings
}

// startNode starts a node without waiting for it to be ready.
func (s *site) startNode(name string) *node { return s.startNodeWith(s.settings(name)) }

func (s *site) startNodeWith(settings config.GatewaySettings) *node {
	return s.startNodeDialing(settings, nil)
}

// startNodeDialing starts a node that connects to replicas by dial, nil for ordinary connections.
func (s *site) startNodeDialing(settings config.GatewaySettings, dial gateway.DialFunc) *node {
	g, err := gateway.New(settings, gateway.Platform{
		Store:   platform.NewStore(settings.Platform.Store),
		Engines: platform.NewEngines(),
		Codec:   platform.Codec{},
		Paths:   platform.Paths(),

		DialReplica: dial,
	}, s.log)
	assert.NilError(s.t, err)
	n := &node{
		Gateway:   g,
		site:      s,
		settings:  settings,
		entry:     settings.Entry.Listen.String(),
		ready:     settings.Entry.Ready.String(),
		directory: settings.Entry.Directory.String(),
	}
	s.t.Cleanup(n.close)
	g.Start()
	return n
}

func (n *node) close() { n.closeOnce.Do(n.Close) }

// startReadyNode starts a node and waits until it is ready.
func (s *site) startReadyNode(name string) *node {
	n := s.startNode(name)
	s.waitUntil("ready", func() bool { return n.isReady() })
	return n
}

func (n *node) isReady() bool {
	resp, err := http.Get("http://" + n.ready + platform.PathReady)
	if err != nil {
		return false
	}
	defer closeBody(resp)
	return resp.StatusCode == http.StatusOK
}

// waitUntil waits until ok returns true and fails the test after waitTimeout.
func (s *site) waitUntil(what string, ok func() bool) {
	s.t.Helper()
	poll.WaitOn(s.t, func(poll.LogT) poll.Result {
		if ok() {
			return poll.Success()
		}
		return poll.Continue("waiting until %s", what)
	}, poll.WithTimeout(waitTimeout), poll.WithDelay(10*time.Millisecond))
}

var requestCount atomic.Int64

// request returns the text of a request with an id of its own.
func request(method, target, body string, fields ...string) string {
	id := fmt.Sprintf("r-%d", requestCount.Add(1))
	head := []string{
		method + " " + target + " HTTP/1.1", "Host: " + host, "Request-Id: " + id, "Authorization: Bearer " + key,
	}
	head = append(head, fields...)
	if body != "" {
		head = append(head, fmt.Sprintf("Content-Length: %d", len(body)))
	}
	return strings.Join(head, "\r\n") + "\r\n\r\n" + body
}

// reply is an answer as a client received it.
type reply struct {
	status int
	header http.Header
	body   string
	// incomplete is set if the answer broke off or never came.
	incomplete bool
	// closing is set if the node announced that it closes the connection.
	closing bool
}

// client is a connection to a node.
type client struct {
	t    *testing.T
	conn net.Conn
	r    *bufio.Reader
}

func (n *node) dial() *client {
	conn, err := net.Dial("tcp", n.entry)
	assert.NilError(n.site.t, err)
	n.site.t.Cleanup(func() { _ = conn.Close() })
	assert.NilError(n.site.t, conn.SetDeadline(time.Now().Add(waitTimeout)))
	return &client{t: n.site.t, conn: conn, r: bufio.NewReader(conn)}
}

func (c *client) write(text string) {
	_, err := io.WriteString(c.conn, text)
	assert.NilError(c.t, err)
}

func (c *client) read() reply {
	resp, err := http.ReadResponse(c.r, nil)
	if err != nil {
		return reply{incomplete: true}
	}
	defer closeBody(resp)
	body, err := io.ReadAll(resp.Body)
	return reply{status: resp.StatusCode, header: resp.Header, body: string(body), incomplete: err != nil, closing: resp.Close}
}

// send sends one request on a connection of its own.
func (n *node) send(text string) reply {
	c := n.dial()
	c.write(text)
	return c.read()
}

// resolve returns what the node's directory answers for the addresses of nodes.
func (n *node) resolve() string {
	resp, err := http.Get("http://" + n.directory + platform.PathResolve + "?name=" + host + "&zone=hall-a")
	if err != nil {
		return ""
	}
	defer closeBody(resp)
	body, err := io.ReadAll(resp.Body)
	assert.NilError(n.site.t, err)
	return string(body)
}

func closeBody(resp *http.Response) { _ = resp.Body.Close() } // The body has been read.
