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
	// grace is the stop.grace of the nodes' settings: how long a node may take to stop.
	grace = 5 * time.Second
	// graceSlack is added for a busy machine.
	graceSlack = 2 * time.Second
	// faultAftermath is how long after a fault a node's failures are attributed to it.
	faultAftermath = 3 * time.Second
)

// node is a gateway that runs as a process.
type node struct {
	name         string
	ip           string
	settingsFile string
	logFile      *os.File
	storeProxy   *netproxy.Proxy // In front of the platform's store.
	program      string          // The program under test.
	memoryMB     int             // Limit of its memory, 0 for none.

	processMu sync.Mutex // Held during a fault of the process itself.
	// suspended is the total time for which its machine was suspended; guarded by processMu.
	suspended time.Duration

	mu           sync.Mutex
	cmd          *exec.Cmd
	exited       chan struct{}
	exitExpected bool      // The process was signalled to exit.
	faultUntil   time.Time // Until then its failures are attributed to faults.
	stopSignalAt time.Time // When it was last signalled to stop.
	disruptedAt  time.Time // When it was last started, paused or resumed.
	addViolation func(format string, args ...any)
}

func (n *node) entry() string { return n.ip + ":8001" }

func newNode(dir, name, ip, program string, memoryMB int, storeProxy *netproxy.Proxy, addViolation func(string, ...any)) (n *node, err error) {
	defer func() { err = eris.Wrapf(err, "node %s", name) }()
	n = &node{name: name, ip: ip, settingsFile: filepath.Join(dir, name+".json"), storeProxy: storeProxy, program: program, memoryMB: memoryMB, addViolation: addViolation}
	if err := n.writeSettings(); err != nil {
		return nil, err
	}
	if n.logFile, err = os.Create(filepath.Join(dir, name+".log")); err != nil {
		return nil, err
	}
	return n, n.start()
}

// writeSettings writes the settings file, which the process reads at its start and on SIGHUP.
func (n *node) writeSettings() error {
	text := fmt.Sprintf(`{
	"node": {"name": %q, "data_hall": "hall-a"},
	"entry": {"listen": "%[2]s:8001", "ready": "%[2]s:8002", "directory": "%[2]s:8003", "max_age": "1s"},
	"peer": {"listen": "%[2]s:8004", "key": "soak-key-1"},
	"platform": {"store": %[3]q, "hold": "1s"},
	"retry": {"share": 0.2, "window": "10s", "slack": 50},
	"stop": {"grace": %[4]q},
	"orders": {"pause": "1s", "within": %[6]q},
	"test": {"suspended": %[5]q},
	"limits": {"memory_mb": %[7]d}
}`, n.name, n.ip, n.storeProxy.Addr().String(), grace, n.suspended, weightsTerm, n.memoryMB)
	return os.WriteFile(n.settingsFile, []byte(text), 0o600)
}

// start starts the process and reports a violation if it exits unexpectedly.
func (n *node) start() error {
	cmd := exec.Command(n.program, "gateway", "-c", n.settingsFile)
	cmd.Stdout, cmd.Stderr = n.logFile, n.logFile
	// The kernel kills the process if the soak is killed.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	n.mu.Lock()
	n.cmd, n.exited, n.exitExpected, n.disruptedAt = cmd, exited, false, time.Now()
	n.mu.Unlock()
	go func() {
		err := cmd.Wait()
		n.mu.Lock()
		expected := n.exitExpected
		n.mu.Unlock()
		if !expected {
			n.addViolation("%s ended by itself: %v", n.name, err)
		}
		close(exited)
	}()
	return nil
}

// recordFault attributes the node's failures of the next d and of faultAftermath to a fault.
func (n *node) recordFault(d time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.disruptedAt = time.Now()
	if until := time.Now().Add(d + faultAftermath); until.After(n.faultUntil) {
		n.faultUntil = until
	}
}

// affectedAt reports whether a fault affected the node at a time or shortly before it.
func (n *node) affectedAt(at time.Time) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return at.Before(n.faultUntil)
}

// disruptedSince reports whether the process was started, paused or resumed since a time.
func (n *node) disruptedSince(at time.Time) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.disruptedAt.After(at)
}

// stoppedSince reports whether the node was signalled to stop since a time.
func (n *node) stoppedSince(at time.Time) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.stopSignalAt.After(at)
}

// inTouch reports whether the process ran undisturbed at a time and for contactTime before it.
func (n *node) inTouch(at time.Time) bool {
	return !n.affectedAt(at) && !n.disruptedSince(at.Add(-contactTime)) && !n.stoppedSince(at.Add(-contactTime))
}

// signal sends the process a signal; expectExit is set if the process should exit on it.
func (n *node) signal(sig syscall.Signal, expectExit bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if expectExit {
		n.exitExpected = true
	}
	if sig == syscall.SIGTERM {
		n.stopSignalAt = time.Now()
	}
	_ = n.cmd.Process.Signal(sig) // start reports a process that has already exited.
}

// kill kills the process and restarts it after a pause.
func (n *node) kill(pause time.Duration) error {
	n.recordFault(pause)
	n.signal(syscall.SIGKILL, true)
	<-n.exited
	time.Sleep(pause)
	n.recordFault(0)
	return n.start()
}

// pause stops the process for d without ending it, and calls beforeResume before it resumes it.
func (n *node) pause(d time.Duration, beforeResume func() error) error {
	n.recordFault(d)
	n.signal(syscall.SIGSTOP, false)
	time.Sleep(d)
	err := beforeResume()
	n.signal(syscall.SIGCONT, false)
	n.recordFault(0)
	return err
}

// stop stops the process with SIGTERM, which lets it drain, and restarts it.
func (n *node) stop() error {
	n.signal(syscall.SIGTERM, true)
	select {
	case <-n.exited:
	case <-time.After(grace + graceSlack):
		n.addViolation("%s had not ended %s after it was told to stop", n.name, grace+graceSlack)
		n.signal(syscall.SIGKILL, true)
		<-n.exited
	}
	return n.start()
}

// killForGood kills the process and does not restart it.
func (n *node) killForGood() {
	n.signal(syscall.SIGKILL, true)
	<-n.exited
	_ = n.logFile.Close() // Only the process writes to it.
	n.storeProxy.Close()
}
