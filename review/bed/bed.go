package main

import (
	"bytes"
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

// bed is a small site: a store, replicas, nodes and clients.
type bed struct {
	program string
	trouble bool
	dir     string // For the settings and logs of the nodes.
	start   time.Time
	subnet  string // First three bytes of the site's addresses.

	store *store
	nodes []*node
	ports ports

	mu     sync.Mutex
	record *os.File
	runs   map[string][]string // The replicas that ran a request, by its ID.
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
	b := &bed{program: program, trouble: trouble, dir: dir, record: f, start: time.Now(), runs: map[string][]string{}}
	b.subnet = fmt.Sprintf("127.%d.%d", 10+os.Getpid()%200, 1+(os.Getpid()/200)%200)
	if b.store, err = newStore(b.ip(250)); err != nil {
		return nil, err
	}
	if err := b.choosePorts(); err != nil {
		return nil, err
	}
	b.note("trouble: %v", trouble)
	return b, nil
}

// ports are those of the nodes, which are the same on all of them; each node has an address of its own.
type ports struct{ entry, ready, directory, metrics, peer int }

// choosePorts chooses ports that are free at the addresses of all nodes.
func (b *bed) choosePorts() error {
	for _, port := range []*int{&b.ports.entry, &b.ports.ready, &b.ports.directory, &b.ports.metrics, &b.ports.peer} {
		for *port == 0 {
			ln, err := listen(b.ip(1))
			if err != nil {
				return err
			}
			defer func() { _ = ln.Close() }() // Held until all ports are chosen.
			n := ln.Addr().(*net.TCPAddr).Port
			free := true
			for i := 2; i <= nodeCount && free; i++ {
				other, err := net.Listen("tcp", fmt.Sprintf("%s:%d", b.ip(i), n))
				if free = err == nil; free {
					_ = other.Close() // The node listens there.
				}
			}
			if free {
				*port = n
			}
		}
	}
	return nil
}

// ran records that a replica ran a request.
func (b *bed) ran(id, replica string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.runs[id] = append(b.runs[id], replica)
}

// noteTries writes what was sent, answered and run to the record, a line each.
func (b *bed) noteTries(tries []*try) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, t := range tries {
		_, _ = fmt.Fprintf(b.record, "%8.3f  %s %s to %s: %s after %d ms, last event %d, run by %v\n", // As in note.
			t.sentAt.Sub(b.start).Seconds(), t.id, t.kind.name, t.node, t.result(), t.answered.Milliseconds(), t.lastID, b.runs[t.id])
	}
}

// ip returns an address of the site.
func (b *bed) ip(n int) string { return fmt.Sprintf("%s.%d", b.subnet, n) }

// note writes a line to the record.
func (b *bed) note(format string, args ...any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	line := fmt.Sprintf("%8.3f  ", time.Since(b.start).Seconds()) + fmt.Sprintf(format, args...) + "\n"
	_, _ = b.record.WriteString(line) // The exit code tells the result as well.
	fmt.Print(line)
}

func (b *bed) close() {
	for _, n := range b.nodes {
		n.kill()
	}
	b.store.close()
	_ = b.record.Close()
	_ = os.RemoveAll(b.dir)
}

// node is one process of the system.
type node struct {
	bed       *bed
	name      string
	zone      string
	ip        string
	entry     string
	ready     string
	directory string
	settings  string
	storeAddr string // The store's address as the node knows it.
	cmd       *exec.Cmd
	output    bytes.Buffer
	done      chan struct{}
}

// newNode prepares a node with the settings that deploy/node.json gives for a site of the size of corrib-boards.
func (b *bed) newNode(name, zone string, n int) (*node, error) {
	x := &node{bed: b, name: name, zone: zone, ip: b.ip(n), storeAddr: b.store.addr}
	x.entry = fmt.Sprintf("%s:%d", x.ip, b.ports.entry)
	x.ready = fmt.Sprintf("%s:%d", x.ip, b.ports.ready)
	x.directory = fmt.Sprintf("%s:%d", x.ip, b.ports.directory)
	b.nodes = append(b.nodes, x)
	return x, x.writeSettings()
}

func (x *node) writeSettings() error {
	text, err := json.Marshal(map[string]any{
		"node":    map[string]any{"name": x.name, "data_hall": x.zone},
		"regions": map[string]any{"hall-a": "r", "hall-b": "r", "hall-c": "r"},
		"entry": map[string]any{
			"listen": x.entry, "ready": x.ready, "directory": x.directory, "metrics": fmt.Sprintf("%s:%d", x.ip, x.bed.ports.metrics), "max_age": "2s",
		},
		"peer":       map[string]any{"listen": fmt.Sprintf("%s:%d", x.ip, x.bed.ports.peer), "key": "site " + x.bed.store.addr},
		"platform":   map[string]any{"store": x.storeAddr},
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
	x.settings = filepath.Join(x.bed.dir, x.name+".json")
	return os.WriteFile(x.settings, text, 0o600)
}

// begin starts the process with the command of the deploy file.
func (x *node) begin() error {
	x.cmd = exec.Command(x.bed.program, "gateway")
	x.cmd.Env = append(os.Environ(), "DRUMPATH_NODE_FILE="+x.settings)
	x.cmd.Stdout, x.cmd.Stderr = &x.output, &x.output
	x.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := x.cmd.Start(); err != nil {
		return err
	}
	x.done = make(chan struct{})
	go func(cmd *exec.Cmd, done chan struct{}) {
		_ = cmd.Wait() // How it ended is read from its state.
		close(done)
	}(x.cmd, x.done)
	return nil
}

func (x *node) signal(s os.Signal) { _ = x.cmd.Process.Signal(s) }

// running reports whether the process has not ended.
func (x *node) running() bool {
	select {
	case <-x.done:
		return false
	default:
		return true
	}
}

func (x *node) kill() {
	if x.cmd == nil {
		return
	}
	x.signal(syscall.SIGKILL)
	<-x.done
}

// isReady asks the node as the platform does.
func (x *node) isReady() bool {
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Get("http://" + x.ready + "/-/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close() // Only the status counts.
	return resp.StatusCode == http.StatusOK
}

// listen listens on an address of the site.
func listen(ip string) (net.Listener, error) { return net.Listen("tcp", ip+":0") }
