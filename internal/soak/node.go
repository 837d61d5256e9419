package soak

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"github.com/drumpath/drumpath/internal/netproxy"
)

const (
	// grace is the time from the signal to stop to the kill, as in the settings.
	grace = 5 * time.Second
	// graceSlack is added for a machine that is busy with other things.
	graceSlack = 2 * time.Second
	// afterTime is for how long after a fault a node's failures are put down to
	// it.
	afterTime = 3 * time.Second
)

// node is one gateway as a process.
type node struct {
	name    string
	ip      string
	file    string
	log     *os.File
	store   *netproxy.Proxy // Before the platform's store.
	program string

	busy sync.Mutex // Held while a fault of the process itself goes on.
	// suspended is for how long its machine has been suspended in all; guarded by busy.
	suspended time.Duration

	mu      sync.Mutex
	cmd     *exec.Cmd
	ended   chan struct{}
	meant   bool      // Its end is meant.
	harmed  time.Time // Until when its failures are not its own.
	stopped time.Time // When it was last told to stop.
	struck  time.Time // When it was last started, stopped for a while or told to go on.
	broken  func(format string, args ...any)
}

func (n *node) entry() string { return n.ip + ":8001" }

func newNode(dir, name, ip, program string, store *netproxy.Proxy, broken func(string, ...any)) (n *node, err error) {
	defer func() { err = eris.Wrapf(err, "node %s", name) }()
	n = &node{name: name, ip: ip, file: filepath.Join(dir, name+".json"), store: store, program: program, broken: broken}
	if err := n.writeSettings(); err != nil {
		return nil, err
	}
	if n.log, err = os.Create(filepath.Join(dir, name+".log")); err != nil {
		return nil, err
	}
	return n, n.start()
}

// writeSettings writes the settings that the process reads next.
func (n *node) writeSettings() error {
	text := fmt.Sprintf(`{
	"node": {"name": %q, "data_hall": "hall-a"},
	"entry": {"listen": "%[2]s:8001", "ready": "%[2]s:8002", "directory": "%[2]s:8003", "max_age": "1s"},
	"peer": {"listen": "%[2]s:8004", "key": "soak-key-1"},
	"platform": {"store": %[3]q, "hold": "1s"},
	"retry": {"share": 0.2, "window": "10s", "slack": 50},
	"stop": {"grace": %[4]q},
	"orders": {"pause": "1s", "within": "10s"},
	"test": {"suspended": %[5]q}
}`, n.name, n.ip, n.store.Addr().String(), grace, n.suspended)
	return os.WriteFile(n.file, []byte(text), 0o600)
}

// start starts the process and notices if it ends by itself.
func (n *node) start() error {
	cmd := exec.Command(n.program, "gateway", "-c", n.file)
	cmd.Stdout, cmd.Stderr = n.log, n.log
	// The process must not outlive a soak that is killed.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	n.mu.Lock()
	n.cmd, n.ended, n.meant, n.struck = cmd, ended, false, time.Now()
	n.mu.Unlock()
	go func() {
		err := cmd.Wait()
		n.mu.Lock()
		meant := n.meant
		n.mu.Unlock()
		if !meant {
			n.broken("%s ended by itself: %v", n.name, err)
		}
		close(ended)
	}()
	return nil
}

// harm notes that the node can't be blamed for a while.
func (n *node) harm(d time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.struck = time.Now()
	if until := time.Now().Add(d + afterTime); until.After(n.harmed) {
		n.harmed = until
	}
}

// harmedAt says whether a fault had struck the node at a time or shortly before.
func (n *node) harmedAt(at time.Time) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return at.Before(n.harmed)
}

// struckSince says whether the process was started or stood still since a time.
func (n *node) struckSince(at time.Time) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.struck.After(at)
}

// stoppedSince says whether the node was told to stop since a time.
func (n *node) stoppedSince(at time.Time) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.stopped.After(at)
}

// signal sends the process a signal; mean says that it is to end by it.
func (n *node) signal(s syscall.Signal, mean bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if mean {
		n.meant = true
	}
	if s == syscall.SIGTERM {
		n.stopped = time.Now()
	}
	_ = n.cmd.Process.Signal(s) // A process that has ended by itself is told of above.
}

// kill ends the process at once and starts it again after a pause.
func (n *node) kill(pause time.Duration) error {
	n.harm(pause)
	n.signal(syscall.SIGKILL, true)
	<-n.ended
	time.Sleep(pause)
	n.harm(0)
	return n.start()
}

// stop has the process end as planned and starts it again.
func (n *node) stop() error {
	n.signal(syscall.SIGTERM, true)
	select {
	case <-n.ended:
	case <-time.After(grace + graceSlack):
		n.broken("%s had not ended %s after it was told to stop", n.name, grace+graceSlack)
		n.signal(syscall.SIGKILL, true)
		<-n.ended
	}
	return n.start()
}

// end kills the process for good.
func (n *node) end() {
	n.signal(syscall.SIGKILL, true)
	<-n.ended
	_ = n.log.Close() // It was written by the process.
	n.store.Close()
}
