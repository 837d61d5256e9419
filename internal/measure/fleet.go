package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"github.com/drumpath/drumpath/internal/standin"
	"github.com/drumpath/drumpath/pkg/load"
	"github.com/drumpath/drumpath/service/operator"
	"github.com/drumpath/drumpath/service/peer"
)

// fleet is a set of nodes and stand-ins that run as processes.
type fleet struct {
	command *soakCommand
	dir     string
	client  *http.Client
	table   netip.AddrPort
	objects netip.AddrPort
	vms     netip.AddrPort
	service netip.AddrPort
	engines []netip.AddrPort
	stores  []netip.AddrPort
	nodes   []nodeAddrs

	mu               sync.Mutex
	nodeProcesses    []*process // By node number.
	standinProcesses []*process
	unexpectedExits  []string
}

// nodeAddrs are the addresses that a node listens at.
type nodeAddrs struct{ entry, peer netip.AddrPort }

// process is one started program and its state.
type process struct {
	cmd          *exec.Cmd
	name         string
	done         chan struct{}
	exitExpected bool // The fleet kills it.
	frozen       bool
	exited       bool
}

const (
	callTimeout  = 10 * time.Second
	startTimeout = 30 * time.Second
)

// startFleet starts all processes and registers the site with drumpath.
func startFleet(c *soakCommand, dir string) (f *fleet, err error) {
	f = &fleet{command: c, dir: dir, client: &http.Client{Timeout: callTimeout}}
	for kind, addr := range map[string]*netip.AddrPort{
		"table": &f.table, "objects": &f.objects, "vms": &f.vms, "service": &f.service,
	} {
		if *addr, err = f.startStandin(kind, "{}"); err != nil {
			return f, err
		}
	}
	const stores = 2
	for range c.Engines {
		addr, err := f.startStandin("engine", "{}")
		if err != nil {
			return f, err
		}
		f.engines = append(f.engines, addr)
	}
	for range stores {
		addr, err := f.startStandin("store", "{}")
		if err != nil {
			return f, err
		}
		f.stores = append(f.stores, addr)
	}
	for range c.Nodes {
		var a nodeAddrs
		if a.entry, err = standin.FreeAddr(); err != nil {
			return f, err
		}
		if a.peer, err = standin.FreeAddr(); err != nil {
			return f, err
		}
		f.nodes = append(f.nodes, a)
	}
	f.nodeProcesses = make([]*process, c.Nodes)
	for i := range f.nodes {
		if err := f.writeSettings(i); err != nil {
			return f, err
		}
		f.startNode(i)
	}
	return f, f.registerSite()
}

func (f *fleet) writeSettings(i int) error {
	var seeds string
	for j, n := range f.nodes {
		if j > 0 {
			seeds += ", "
		}
		seeds += fmt.Sprintf("%q", n.peer)
	}
	settings := fmt.Sprintf(`{
  "node": {"name": "vm-%d", "data_hall": "north"},
  "entry": {"listen": %q, "max_age": "2s"},
  "peer": {"listen": %q, "key": %q, "seeds": [%s], "probe_every": "500ms"},
  "operator": {"token": %q},
  "platform": {"table": %q, "object": %q, "vms": %q, "timeout": "1s"},
  "policy": {"recompute_weight": 3},
  "limits": {"lease_term": "5s"},
  "log": {"level": "warn"},
}`, i, f.nodes[i].entry, f.nodes[i].peer, standin.PeerKey, seeds, standin.OperatorToken, f.table, f.objects, f.vms)
	return os.WriteFile(f.settingsPath(i), []byte(settings), 0o600)
}

func (f *fleet) settingsPath(i int) string { return filepath.Join(f.dir, fmt.Sprintf("vm-%d.json", i)) }

func (f *fleet) startStandin(kind, cfg string) (addr netip.AddrPort, err error) {
	if addr, err = standin.FreeAddr(); err != nil {
		return addr, err
	}
	p, err := f.startProcess(kind, f.command.Standind, "--kind", kind, "--listen", addr.String(), "--config", cfg)
	if err != nil {
		return addr, err
	}
	f.standinProcesses = append(f.standinProcesses, p)
	return addr, nil
}

func (f *fleet) startProcess(name, path string, args ...string) (*process, error) {
	log, err := os.OpenFile(filepath.Join(f.dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	cmd := exec.Command(path, args...)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	p := &process{cmd: cmd, name: name, done: make(chan struct{})}
	go func() {
		err := cmd.Wait()
		_ = log.Close()
		f.mu.Lock()
		p.exited = true
		if !p.exitExpected {
			f.unexpectedExits = append(f.unexpectedExits, fmt.Sprintf("%s: %v", name, err))
		}
		f.mu.Unlock()
		close(p.done)
	}()
	return p, nil
}

func (f *fleet) startNode(i int) {
	p, err := f.startProcess(fmt.Sprint("vm-", i), f.command.Drumpath, "serve", "-c", f.settingsPath(i))
	f.mu.Lock()
	defer f.mu.Unlock()
	if err != nil {
		f.unexpectedExits = append(f.unexpectedExits, err.Error())
		return
	}
	f.nodeProcesses[i] = p
}

func (f *fleet) kill(i int) {
	f.mu.Lock()
	p := f.nodeProcesses[i]
	p.exitExpected = true
	f.mu.Unlock()
	_ = p.cmd.Process.Kill() // The process may have exited already.
	<-p.done
}

func (f *fleet) freeze(i int, frozen bool) {
	f.mu.Lock()
	p := f.nodeProcesses[i]
	p.frozen = frozen
	f.mu.Unlock()
	sig := syscall.SIGCONT
	if frozen {
		sig = syscall.SIGSTOP
	}
	_ = p.cmd.Process.Signal(sig) // The process may have exited already.
}

// running reports whether a node has neither exited nor been frozen.
func (f *fleet) running(i int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.nodeProcesses[i].exited && !f.nodeProcesses[i].frozen
}

func (f *fleet) listUnexpectedExits() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]string{}, f.unexpectedExits...)
}

func (f *fleet) close() {
	f.mu.Lock()
	all := append(append([]*process{}, f.standinProcesses...), f.nodeProcesses...)
	for _, p := range all {
		if p != nil {
			p.exitExpected = true
		}
	}
	f.mu.Unlock()
	for _, p := range all {
		if p == nil {
			continue
		}
		_ = p.cmd.Process.Signal(syscall.SIGCONT) // The process may have exited already.
		_ = p.cmd.Process.Kill()                  // The process may have exited already.
		<-p.done
	}
}

func (f *fleet) entries() []netip.AddrPort {
	var list []netip.AddrPort
	for _, n := range f.nodes {
		list = append(list, n.entry)
	}
	return list
}

// registerSite waits for the nodes and creates the site's model, Upstreams and
// organisations.
func (f *fleet) registerSite() error {
	script := "create model m with weights w1;\n"
	for i := range 10 {
		script += fmt.Sprintf("create organisation o%d with key 'key-o%d';\n", i, i)
	}
	for i, addr := range f.engines {
		script += fmt.Sprintf("create upstream engine-%d with kind engine, model m, data_hall north, address '%s';\n", i, addr)
	}
	for i, addr := range f.stores {
		script += fmt.Sprintf("create upstream store-%d with kind store, address '%s';\n", i, addr)
	}
	script += fmt.Sprintf("create upstream service with kind service, path pickups, address '%s'", f.service)
	for end := time.Now().Add(startTimeout); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if _, ok := f.runStatements(0, "create model probe with weights w"); ok {
			break
		}
	}
	if _, ok := f.runStatements(0, script); !ok {
		return eris.New("the site could not be registered with the nodes")
	}
	time.Sleep(3 * time.Second)
	return nil
}

// callOperator makes an operator call to a node.
func (f *fleet) callOperator(i int, method string, params, result any) error {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	conn, err := peer.Dial(ctx, f.nodes[i].peer, peer.Hello{Role: peer.RoleOperator, Secret: standin.OperatorToken})
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	return conn.Call(ctx, method, params, result)
}

// runStatements executes statements at a node; ok reports whether all were
// accepted.
func (f *fleet) runStatements(i int, text string) (version uint64, ok bool) {
	var a operator.RunAnswer
	if err := f.callOperator(i, peer.MethodRun, operator.RunRequest{Text: text}, &a); err != nil {
		return 0, false
	}
	for _, r := range a.Results {
		if r.Error != nil {
			return 0, false
		}
		version = r.Version
	}
	return version, true
}

func (f *fleet) configVersion(i int) (uint64, error) {
	var a struct {
		Version uint64 `json:"configuration_version"`
	}
	err := f.callOperator(i, peer.MethodDump, struct{}{}, &a)
	return a.Version, err
}

// callOnce sends a request that must not be repeated; code 0 means no answer.
func (f *fleet) callOnce(node int, key string) (code int, body load.AnswerError) {
	url := fmt.Sprintf("http://%s/v1/services/pickups/confirm", f.nodes[node].entry)
	req, err := http.NewRequest(http.MethodPost, url, bytes.NewReader([]byte(key)))
	if err != nil {
		return 0, body
	}
	req.Header.Set("Authorization", "Bearer key-o1")
	req.Header.Set("Drumpath-Once", "true")
	req.Header.Set("Idempotency-Key", key)
	resp, err := f.client.Do(req)
	if err != nil {
		return 0, body
	}
	defer func() { _ = resp.Body.Close() }()
	var answer struct {
		Error *load.AnswerError `json:"error"`
	}
	if resp.StatusCode != http.StatusOK {
		if err := json.NewDecoder(resp.Body).Decode(&answer); err != nil || answer.Error == nil {
			return 0, body
		}
		body = *answer.Error
	}
	return resp.StatusCode, body
}

func (f *fleet) setFault(addr netip.AddrPort, fault standin.Fault) {
	body, err := json.Marshal(fault)
	if err != nil {
		return
	}
	resp, err := f.client.Post("http://"+addr.String()+"/fault", "application/json", bytes.NewReader(body))
	if err == nil {
		_ = resp.Body.Close()
	}
}

func (f *fleet) serviceRuns() map[string]int {
	runs := map[string]int{}
	resp, err := f.client.Get("http://" + f.service.String() + "/runs")
	if err != nil {
		return runs
	}
	defer func() { _ = resp.Body.Close() }()
	_ = json.NewDecoder(resp.Body).Decode(&runs) // Without counts, finish reports the answered requests as not run.
	return runs
}
