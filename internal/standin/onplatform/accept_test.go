package onplatform_test

import (
	"net"
	"os"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// concurrentClients is how many clients connect at once in assertServesNewClients.
const concurrentClients = 7

// assertServesNewClients connects several clients at once and checks that each is answered.
func (n *node) assertServesNewClients(t *testing.T) {
	t.Helper()
	var wg sync.WaitGroup
	statuses := make([]int, concurrentClients)
	for i := range concurrentClients {
		c := n.dial()
		assert.NilError(t, c.conn.SetDeadline(time.Now().Add(2*time.Second)))
		wg.Go(func() {
			c.write(request("GET", "/safe/x", ""))
			statuses[i] = c.read().status
		})
	}
	wg.Wait()
	for _, status := range statuses {
		assert.Equal(t, status, 200)
	}
}

// exhaustDescriptors uses up all file descriptors of this process; closing one of the
// fillers frees one.
func exhaustDescriptors(t *testing.T) (fillers []*os.File, restore func()) {
	var old syscall.Rlimit
	assert.NilError(t, syscall.Getrlimit(syscall.RLIMIT_NOFILE, &old))
	open, err := os.ReadDir("/proc/self/fd")
	assert.NilError(t, err)
	lowered := old
	lowered.Cur = uint64(len(open) + 16)
	assert.NilError(t, syscall.Setrlimit(syscall.RLIMIT_NOFILE, &lowered))
	for {
		f, err := os.Open(os.DevNull)
		if err != nil {
			break
		}
		fillers = append(fillers, f)
	}
	return fillers, sync.OnceFunc(func() {
		assert.NilError(t, syscall.Setrlimit(syscall.RLIMIT_NOFILE, &old))
		for _, f := range fillers {
			_ = f.Close() // The test has closed one of them already.
		}
	})
}

// A failed accept must not end the accept loop of the entry, ready or directory address.
func TestNodeAcceptsAgainAfterRunningOutOfDescriptors(t *testing.T) {
	s := newSite(t)
	s.startReplica(appService, "a")
	n := s.startReadyNode("n1")
	for _, addr := range []string{n.entry, n.ready, n.directory} {
		fillers, restore := exhaustDescriptors(t)
		defer restore()
		assert.Assert(t, len(fillers) > 0)
		var pending net.Conn
		s.waitUntil("a client has a descriptor and the node has none", func() bool {
			var err error
			_ = fillers[0].Close() // May be closed already.
			pending, err = net.Dial("tcp", addr)
			return err == nil
		})
		time.Sleep(workTime) // Time for the node to fail at accept.
		restore()
		assert.NilError(t, pending.Close())
	}
	n.assertServesNewClients(t)
	s.waitUntil("the node is ready", n.isReady)
	assert.Assert(t, n.resolve() != "")
}

// maxClientConns is how many client connections a node accepts with descriptorLimit:
// six tenths of it.
const (
	descriptorLimit = 20
	maxClientConns  = 12
)

// startNodeWithFewDescriptors starts a node that accepts maxClientConns connections.
func (s *site) startNodeWithFewDescriptors() *node {
	settings := s.settings("n1")
	settings.Limits.Descriptors = descriptorLimit
	n := s.startNodeWith(settings)
	s.waitUntil("ready", n.isReady)
	return n
}

// Idle clients hold all connections that the node accepts. It must close idle ones to serve new
// clients.
func TestIdleConnectionsAreClosedForNewOnes(t *testing.T) {
	s := newSite(t)
	s.startReplica(appService, "a")
	n := s.startNodeWithFewDescriptors()
	for range maxClientConns {
		c := n.dial()
		c.write(request("GET", "/safe/x", ""))
		assert.Equal(t, c.read().status, 200)
	}
	time.Sleep(2 * workTime) // The connections are idle now.
	n.assertServesNewClients(t)
}

// Clients that are slow to send their request heads use up all connections. Once their
// header timeout has passed, new clients must be accepted.
func TestNewClientsAreServedAfterBurstOfSlowOnes(t *testing.T) {
	s := newSite(t)
	s.limits["header_timeout_ms"] = 300
	s.configure()
	s.startReplica(appService, "a")
	n := s.startNodeWithFewDescriptors()
	for range 3 * maxClientConns {
		c, err := net.Dial("tcp", n.entry)
		assert.NilError(t, err)
		defer func() { _ = c.Close() }()
		_, _ = c.Write([]byte("GET /safe/x HTTP/1.1\r\n")) // Some are not accepted.
	}
	time.Sleep(time.Second) // The header timeout has passed, and the node has closed them.
	n.assertServesNewClients(t)
}
