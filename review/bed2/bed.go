package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// bed is a small site: the platform's store, engines, nodes and clients.
type bed struct {
	program string
	trouble bool
	dir     string // For the settings of the nodes.
	start   time.Time
	store   *store
	nodes   []*node

	mu     sync.Mutex
	record *os.File
}

func newBed(program, record string, trouble bool) (*bed, error) {
	f, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	b := &bed{program: program, trouble: trouble, dir: dir, record: f, start: time.Now()}
	if b.store, err = newStore(b.ip(250)); err != nil {
		return nil, err
	}
	b.note("trouble: %v", trouble)
	return b, nil
}

// ip returns a loopback address of this site.
func (b *bed) ip(n int) string {
	return fmt.Sprintf("127.%d.%d.%d", 10+os.Getpid()%200, 1+(os.Getpid()/200)%200, n)
}

// note writes a line to the record.
func (b *bed) note(format string, args ...any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	line := fmt.Sprintf("%8.3f  ", time.Since(b.start).Seconds()) + fmt.Sprintf(format, args...) + "\n"
	_, _ = b.record.WriteString(line) // The exit code tells the result as well.
}

func (b *bed) close() {
	for _, n := range b.nodes {
		n.kill()
	}
	b.store.close()
	_ = b.record.Close()
	_ = os.RemoveAll(b.dir)
}

// zones are the places of the site.
var zones = []string{"hall-a", "hall-b", "hall-c"}

// node is one process of the system.
type node struct {
	bed      *bed
	name     string
	entry    string
	ready    string
	settings string
	cmd      *exec.Cmd
	done     chan struct{}

	mu        sync.Mutex
	touchedAt time.Time // When the process was last started or killed.
}

// startNodes starts nodes with the settings that deploy/node.json gives for corrib-boards, and waits until all of them
// are ready.
func (b *bed) startNodes(count int) error {
	for i := range count {
		zone := zones[i%len(zones)]
		n := &node{bed: b, name: fmt.Sprintf("front-%s-%d", zone, 1+i/len(zones))}
		if err := n.writeSettings(b.ip(1+i), zone); err != nil {
			return err
		}
		b.nodes = append(b.nodes, n)
		if err := n.begin(); err != nil {
			return err
		}
	}
	return b.await("all nodes are ready", 20*time.Second, func() bool {
		for _, n := range b.nodes {
			if !n.isReady() {
				return false
			}
		}
		return true
	})
}

// await waits until ok returns true.
func (b *bed) await(what string, limit time.Duration, ok func() bool) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if ok() {
			b.note("%s", what)
			return nil
		}
	}
	return fmt.Errorf("in vain waited until %s", what)
}

// freePorts returns ports that are free at an address.
func freePorts(ip string, count int) (addrs []string, err error) {
	for range count {
		ln, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return nil, err
		}
		defer func() { _ = ln.Close() }() // Held until all are chosen.
		addrs = append(addrs, ln.Addr().String())
	}
	return addrs, nil
}

func (n *node) writeSettings(ip, zone string) error {
	addrs, err := freePorts(ip, 5)
	if err != nil {
		return err
	}
	n.entry, n.ready = addrs[0], addrs[1]
	regions := map[string]string{}
	for _, z := range zones {
		regions[z] = "region"
	}
	text, err := json.Marshal(map[string]any{
		"node":       map[string]any{"name": n.name, "data_hall": zone},
		"regions":    regions,
		"entry":      map[string]any{"listen": addrs[0], "ready": addrs[1], "directory": addrs[2], "metrics": addrs[3], "max_age": "2s"},
		"peer":       map[string]any{"listen": addrs[4], "key": "site " + n.bed.store.addr},
		"platform":   map[string]any{"store": n.bed.store.addr},
		"limits":     map[string]any{"memory_mb": 284, "descriptors": 4100, "link_mbps": 1000.0},
		"retry":      map[string]any{"share": 0.2, "window": "10s", "slack": 54},
		"stop":       map[string]any{"grace": "8s"},
		"orders":     map[string]any{"pause": "3000ms", "within": "10000ms"},
		"cold":       map[string]any{},
		"evacuation": map[string]any{},
		"canary":     map[string]any{},
	})
	if err != nil {
		return err
	}
	n.settings = filepath.Join(n.bed.dir, n.name+".json")
	return os.WriteFile(n.settings, text, 0o600)
}

// begin starts the process with the command of the deploy file.
func (n *node) begin() error {
	log, err := os.OpenFile(n.settings+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	n.cmd = exec.Command(n.bed.program, "gateway")
	n.cmd.Env = append(os.Environ(), "DRUMPATH_NODE_FILE="+n.settings)
	n.cmd.Stdout, n.cmd.Stderr = log, log
	n.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := n.cmd.Start(); err != nil {
		return err
	}
	_ = log.Close() // The process has its own descriptor.
	n.touch()
	n.done = make(chan struct{})
	go func(cmd *exec.Cmd, done chan struct{}) {
		_ = cmd.Wait() // It is killed.
		close(done)
	}(n.cmd, n.done)
	return nil
}

func (n *node) kill() {
	if n.cmd == nil {
		return
	}
	_ = n.cmd.Process.Kill() // It may have ended.
	<-n.done
	n.touch()
}

// touch records that the process was started or killed.
func (n *node) touch() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.touchedAt = time.Now()
}

// inTouch reports whether the process has run undisturbed for contact_ms.
func (n *node) inTouch() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return time.Since(n.touchedAt) > contactTime
}

// isReady asks the node as the platform does.
func (n *node) isReady() bool {
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Get("http://" + n.ready + "/-/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close() // Only the status counts.
	return resp.StatusCode == http.StatusOK
}

// Bounds of corrib-boards.
const (
	contactTime     = 3 * time.Second
	configApplyTime = 2 * time.Second
	heartbeat       = 1200 * time.Millisecond
)

const (
	serviceName = "screen-llm"
	otherName   = "cover-llm" // A second service of the same model.
	modelName   = "m0"
	hostName    = "boards.example"
)

// tenant is an organisation of the configuration.
type tenant struct {
	Name     string   `json:"name"`
	Keys     []string `json:"api_keys"`
	Isolated bool     `json:"isolated,omitempty"`
}

// share is a service's share of a route.
type share struct {
	Service string `json:"service"`
	Weight  int    `json:"weight"`
}

// configure has the operator name a version of the configuration. The store's answer is the acknowledgement.
// split divides the route between services; nil leaves it with serviceName.
func (b *bed) configure(version int, split []share, tenants ...tenant) {
	engine := map[string]any{
		"slots": engineSlots, "kv_capacity_tokens": engineMemory, "kv_token_bytes": 18432, "link_mbps": 130000.0,
		"models": []any{map[string]any{"name": modelName}},
	}
	route := map[string]any{
		"name": "cover-draft", "host": hostName, "path_prefix": "/draft/", "kind": "streaming", "timeout_ms": 12000,
		"target_latency_ms": 300, "gap_aim_ms": 300, "priority": 0, "max_attempts": 2, "sticky": true, "resumable": true,
	}
	if split == nil {
		route["service"] = serviceName
	} else {
		route["traffic_split"] = split
	}
	var services []any
	for _, name := range []string{serviceName, otherName} {
		services = append(services, map[string]any{"name": name, "health_path": "/healthz", "max_conns": 360, "engine": engine})
	}
	b.store.put("op", "config", map[string]any{
		"config_version": version, "routes": []any{route}, "services": services,
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": tenants,
	})
	b.note("configuration %d acknowledged: split %+v, tenants %+v", version, split, tenants)
}
