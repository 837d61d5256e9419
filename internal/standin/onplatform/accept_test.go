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

// concurrentClients is how many clients try at once for a new connection.
const concurrentClients = 7

// assertServesNewClients has clients try at once; each gets its answer.
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

// shortDescriptors leaves this process no descriptors but those that it has.
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
			_ = f.Close() // One has been closed before.
		}
	})
}

func TestNodeAcceptsAgainAfterRunningOutOfDescriptors(t *testing.T) {
	s := newSite(t)
	s.startReplica(appService, "a")
	n := s.startReadyNode("n1")
	for _, addr := range []string{n.entry, n.ready, n.directory} {
		fillers, restore := exhaustDescriptors(t)
		defer restore()
		assert.Assert(t, len(fillers) > 0)
		var pending net.Conn
		s.waitUntil("a client has a descriptor, and the node none for it", func() bool {
			var err error
			_ = fillers[0].Close() // It may have been closed before.
			pending, err = net.Dial("tcp", addr)
			return err == nil
		})
		time.Sleep(workTime) // The node has tried.
		restore()
		assert.NilError(t, pending.Close())
	}
	n.assertServesNewClients(t)
	s.waitUntil("it says that it is ready", n.isReady)
	assert.Assert(t, n.resolve() != "")
}

// places is how many connections of clients a node with fewDescriptors takes: six
// tenths.
const (
	descriptorLimit = 20
	maxClientConns  = 12
)

// startNodeWithFewDescriptors starts a node with few places.
func (s *site) startNodeWithFewDescriptors() *node {
	settings := s.settings("n1")
	settings.Limits.Descriptors = descriptorLimit
	n := s.startNodeWith(settings)
	s.waitUntil("ready", n.isReady)
	return n
}

func TestIdleConnectionsAreClosedForNewOnes(t *testing.T) {
	s := newSite(t)
	s.startReplica(appService, "a")
	n := s.startNodeWithFewDescriptors()
	for range maxClientConns {
		c := n.dial()
		c.write(request("GET", "/safe/x", ""))
		assert.Equal(t, c.read().status, 200)
	}
	time.Sleep(2 * workTime) // They rest.
	n.assertServesNewClients(t)
}

// Clients that are slow with their heads, and others that come in a burst, take what
// places there are; once they have been served or have gone, new ones are taken.
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
		_, _ = c.Write([]byte("GET /safe/x HTTP/1.1\r\n")) // Some find no place.
	}
	time.Sleep(time.Second) // Their time for the head, and to read that it was over, has passed.
	n.assertServesNewClients(t)
}
