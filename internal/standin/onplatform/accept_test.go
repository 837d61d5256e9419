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

// triers is how many clients try at once for a new connection.
const triers = 7

// assertTaken has clients try at once; each gets its answer.
func (n *node) assertTaken(t *testing.T) {
	t.Helper()
	var wg sync.WaitGroup
	statuses := make([]int, triers)
	for i := range triers {
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
func shortDescriptors(t *testing.T) (spare []*os.File, restore func()) {
	var old syscall.Rlimit
	assert.NilError(t, syscall.Getrlimit(syscall.RLIMIT_NOFILE, &old))
	open, err := os.ReadDir("/proc/self/fd")
	assert.NilError(t, err)
	short := old
	short.Cur = uint64(len(open) + 16)
	assert.NilError(t, syscall.Setrlimit(syscall.RLIMIT_NOFILE, &short))
	for {
		f, err := os.Open(os.DevNull)
		if err != nil {
			break
		}
		spare = append(spare, f)
	}
	return spare, sync.OnceFunc(func() {
		assert.NilError(t, syscall.Setrlimit(syscall.RLIMIT_NOFILE, &old))
		for _, f := range spare {
			_ = f.Close() // One has been closed before.
		}
	})
}

func TestNodeTakesConnectionsAgainOnceItHasDescriptors(t *testing.T) {
	s := newSite(t)
	s.replica(app, "a")
	n := s.node("n1")
	for _, addr := range []string{n.entry, n.ready, n.dir} {
		spare, restore := shortDescriptors(t)
		defer restore()
		assert.Assert(t, len(spare) > 0)
		var tried net.Conn
		s.until("a client has a descriptor, and the node none for it", func() bool {
			var err error
			_ = spare[0].Close() // It may have been closed before.
			tried, err = net.Dial("tcp", addr)
			return err == nil
		})
		time.Sleep(workTime) // The node has tried.
		restore()
		assert.NilError(t, tried.Close())
	}
	n.assertTaken(t)
	s.until("it says that it is ready", n.isReady)
	assert.Assert(t, n.addrs() != "")
}

// places is how many connections of clients a node with fewDescriptors takes: six
// tenths.
const (
	fewDescriptors = 20
	places         = 12
)

// few starts a node with few places.
func (s *site) few() *node {
	settings := s.settings("n1")
	settings.Limits.Descriptors = fewDescriptors
	n := s.startWith(settings)
	s.until("ready", n.isReady)
	return n
}

func TestRestingConnectionsGiveWayToNewOnes(t *testing.T) {
	s := newSite(t)
	s.replica(app, "a")
	n := s.few()
	for range places {
		c := n.dial()
		c.write(request("GET", "/safe/x", ""))
		assert.Equal(t, c.read().status, 200)
	}
	time.Sleep(2 * workTime) // They rest.
	n.assertTaken(t)
}

// Clients that are slow with their heads, and others that come in a burst, take what
// places there are; once they have been served or have gone, new ones are taken.
func TestBurstOfSlowClientsLeavesRoomBehindIt(t *testing.T) {
	s := newSite(t)
	s.limits["header_timeout_ms"] = 300
	s.configure()
	s.replica(app, "a")
	n := s.few()
	for range 3 * places {
		c, err := net.Dial("tcp", n.entry)
		assert.NilError(t, err)
		defer func() { _ = c.Close() }()
		_, _ = c.Write([]byte("GET /safe/x HTTP/1.1\r\n")) // Some find no place.
	}
	time.Sleep(time.Second) // Their time for the head, and to read that it was over, has passed.
	n.assertTaken(t)
}
