package onplatform_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"regexp"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"

	"github.com/drumpath/drumpath/internal/standin/onplatform"
)

const (
	// disconnectTime is the time within which work for a disconnected client must end.
	disconnectTime = 500 * time.Millisecond
	// lateArrivalTime is how long after that the tests watch for requests that still arrive.
	lateArrivalTime = time.Second
)

// workCounter counts the requests that replicas are working on.
type workCounter struct{ running atomic.Int64 }

// counted wraps a script so that the requests it works on are counted.
func (work *workCounter) counted(script onplatform.Script) onplatform.Script {
	return func(w io.Writer, r *onplatform.Request) bool {
		if strings.HasPrefix(r.Target, "/-/") {
			return onplatform.NotExecuted(503)(w, r)
		}
		work.running.Add(1)
		defer work.running.Add(-1)
		return script(w, r)
	}
}

// assertAllEnded checks that disconnectTime after the clients have left no replica works on
// any request, and that none arrives for a while after.
func (work *workCounter) assertAllEnded(t *testing.T, disconnectedAt time.Time, replicas ...*onplatform.Replica) {
	t.Helper()
	time.Sleep(time.Until(disconnectedAt.Add(disconnectTime)))
	assert.Equal(t, work.running.Load(), int64(0), "requests still running")
	arrived := countReceived(replicas)
	time.Sleep(lateArrivalTime)
	assert.Equal(t, countReceived(replicas), arrived, "a request arrived late")
	assert.Equal(t, work.running.Load(), int64(0), "requests running again")
}

func countReceived(replicas []*onplatform.Replica) int {
	n := 0
	for _, r := range replicas {
		n += len(r.Received())
	}
	return n
}

func (c *client) disconnect() time.Time {
	assert.NilError(c.t, c.conn.Close())
	return time.Now()
}

var idField = regexp.MustCompile(`Request-Id: (\S+)`)

func TestQueuedRequestIsDroppedOnClientDisconnect(t *testing.T) {
	s := newSite(t)
	work := &workCounter{}
	r := s.startReplica(llmService, "e")
	release := make(chan struct{})
	unblock := sync.OnceFunc(func() { close(release) })
	defer unblock() // Close of the engine waits for its requests.
	r.Script(work.counted(func(w io.Writer, r *onplatform.Request) bool {
		<-release
		return onplatform.Events(1, 1, 0, true)(w, r)
	}))
	n := s.startReadyNode("n1")
	const sent = 12
	clients := map[string]*client{}
	for range sent {
		text := strings.Replace(prompt("b0"), "/prompt/", "/patient/", 1)
		c := n.dial()
		c.write(text)
		clients[idField.FindStringSubmatch(text)[1]] = c
	}
	s.waitUntil("the engine has some", func() bool { return len(r.Received()) >= 2 })
	time.Sleep(workTime) // The node has sent the engine all that it takes at a time.
	held := r.Received()
	assert.Assert(t, len(held) < sent, "no request is queued")
	for _, in := range held {
		delete(clients, in.ID())
	}
	var disconnectedAt time.Time
	for _, c := range clients {
		disconnectedAt = c.disconnect()
	}
	unblock() // The engine becomes free just when the queued clients leave.
	work.assertAllEnded(t, disconnectedAt, r)
	assert.Equal(t, len(r.Received()), len(held))
}

// startCacheStore starts a KV cache store whose events list two parts of the prompt, under the cache salt of the prompts that an
// engine has received.
func (s *site) startCacheStore(engine *onplatform.Replica) {
	r, err := onplatform.NewReplica("kv")
	assert.NilError(s.t, err)
	s.t.Cleanup(r.Close)
	r.Script(func(w io.Writer, r *onplatform.Request) bool {
		time.Sleep(workTime)
		changes, next := "[]", 0
		if seen := engine.Received(); len(seen) > 0 {
			next = 2
			if strings.Contains(r.Target, "since=0") {
				salt := seen[0].Header.Get("Cache-Salt")
				changes = fmt.Sprintf(`[[1,"+",%[1]q,"aa",500,%[2]q],[2,"+",%[1]q,"b0",300,%[2]q]]`, salt, model)
			}
		}
		body := fmt.Sprintf(`{"boot_epoch":1,"next_token":%d,"lost":false,"clock_ms":1000,"events":%s}`, next, changes)
		_, err := io.WriteString(w, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: "+fmt.Sprint(len(body))+"\r\n\r\n"+body)
		return err == nil
	})
	s.extraServices = append(s.extraServices, map[string]any{
		"name": "kv", "kv_store_addr": r.Addr().String(), "zone": "hall-a", "kv_capacity_tokens": 100000,
		"link_mbps": 10000.0, "max_inflight": 12, "managed": true, "first_ms": 0.5,
	})
	s.configure()
}

func TestClientDisconnectStopsEngineFetch(t *testing.T) {
	s := newSite(t)
	work := &workCounter{}
	r := s.startReplica(llmService, "e")
	s.startCacheStore(r)
	r.Script(work.counted(onplatform.Events(1, 1, 0, true)))
	n := s.startReadyNode("n1")
	fetched := func() bool {
		seen := r.Received()
		return len(seen) > 0 && seen[len(seen)-1].Header.Get("Kv-Fetch") != ""
	}
	s.waitUntil("prompts are sent with a place to fetch from", func() bool {
		n.send(prompt("b0"))
		return fetched()
	})
	r.Script(work.counted(onplatform.Hang))
	before := len(r.Received())
	c := n.dial()
	c.write(prompt("b0"))
	s.waitUntil("the prompt is at the engine", func() bool { return len(r.Received()) > before })
	assert.Assert(t, fetched())
	work.assertAllEnded(t, c.disconnect(), r)
	assert.Equal(t, len(r.Received()), before+1)
}

// A client disconnects before it has sent its whole body.
func TestRequestIsNotSentAfterDisconnectDuringBody(t *testing.T) {
	s := newSite(t)
	work := &workCounter{}
	a := s.startReplica(appService, "a")
	a.Script(work.counted(onplatform.Hang))
	n := s.startReadyNode("n1")
	head := "POST /safe/x HTTP/1.1\r\nHost: " + host + "\r\nRequest-Id: body-1\r\nAuthorization: Bearer " + key + "\r\n"
	var disconnectedAt time.Time
	for _, text := range []string{
		head + "Content-Length: 9\r\n\r\nabc",
		head + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",
		head + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n",
	} {
		for range 5 {
			c := n.dial()
			c.write(text)
			c.disconnect()
			c = n.dial()
			c.write(text)
			time.Sleep(10 * time.Millisecond) // The node has read the bytes.
			disconnectedAt = c.disconnect()
		}
	}
	work.assertAllEnded(t, disconnectedAt, a)
	assert.Equal(t, len(a.Received()), 0)
}

// A client disconnects just when the first attempt of its request fails in a way that allows
// a retry. The node must not retry for a client that has gone.
func TestNoRetryAfterClientDisconnect(t *testing.T) {
	for name, script := range map[string]onplatform.Script{
		"refused": onplatform.NotExecuted(503),
		"failed":  onplatform.Failed,
		"lost":    onplatform.CloseUnanswered,
	} {
		t.Run(name, func(t *testing.T) {
			s := newSite(t)
			work := &workCounter{}
			a, b := s.startReplica(appService, "a"), s.startReplica(appService, "b")
			n := s.startReadyNode("n1")
			reached, proceed := make(chan struct{}), make(chan struct{})
			blocking := work.counted(func(w io.Writer, r *onplatform.Request) bool {
				reached <- struct{}{}
				<-proceed
				return script(w, r)
			})
			a.Script(blocking)
			b.Script(blocking)
			const rounds = 20
			var disconnectedAt time.Time
			for range rounds {
				c := n.dial()
				c.write(request("GET", "/safe/x", ""))
				<-reached
				disconnectedAt = c.disconnect()
				proceed <- struct{}{}
				select {
				case <-reached:
					proceed <- struct{}{}
					t.Error("a second attempt arrived")
				case <-time.After(workTime):
				}
			}
			work.assertAllEnded(t, disconnectedAt, a, b)
			assert.Equal(t, countReceived([]*onplatform.Replica{a, b}), rounds)
		})
	}
}

func TestClientDisconnectStopsRetry(t *testing.T) {
	s := newSite(t)
	work := &workCounter{}
	a, b := s.startReplica(appService, "a"), s.startReplica(appService, "b")
	n := s.startReadyNode("n1")
	var attempts atomic.Int64
	script := work.counted(func(w io.Writer, r *onplatform.Request) bool {
		if attempts.Add(1) == 1 {
			return onplatform.NotExecuted(503)(w, r)
		}
		return onplatform.Hang(w, r)
	})
	a.Script(script)
	b.Script(script)
	c := n.dial()
	c.write(request("GET", "/safe/x", ""))
	s.waitUntil("the second attempt is at a replica", func() bool { return attempts.Load() == 2 })
	work.assertAllEnded(t, c.disconnect(), a, b)
	assert.Equal(t, attempts.Load(), int64(2))
}

func TestClientDisconnectStopsAnswerInProgress(t *testing.T) {
	partialStream := onplatform.Events(1, 3, time.Millisecond, false)
	for path, firstPart := range map[string]onplatform.Script{
		"/stream/x": partialStream,
		"/resume/x": partialStream,
		"/safe/x":   onplatform.Raw("HTTP/1.1 200 OK\r\nRequest-Id: %ID%\r\nServer-Stamp: s\r\nContent-Length: 9\r\n\r\nabc", true),
	} {
		t.Run(path, func(t *testing.T) {
			s := newSite(t)
			work := &workCounter{}
			a, b := s.startReplica(appService, "a"), s.startReplica(appService, "b")
			n := s.startReadyNode("n1")
			script := work.counted(func(w io.Writer, r *onplatform.Request) bool {
				firstPart(w, r)
				return onplatform.Hang(w, r) // The rest never comes.
			})
			a.Script(script)
			b.Script(script)
			c := n.dial()
			c.write(request("POST", path, "body"))
			s.waitUntil("the request is at a replica", func() bool { return len(a.Received())+len(b.Received()) > 0 })
			time.Sleep(workTime / 2) // The answer has started.
			work.assertAllEnded(t, c.disconnect(), a, b)
			assert.Equal(t, countReceived([]*onplatform.Replica{a, b}), 1)
		})
	}
}

// A client stops reading its stream and then disconnects while the node is blocked in a
// write to it. The replica must not go on streaming.
func TestClientDisconnectStopsUnreadStream(t *testing.T) {
	s := newSite(t)
	work := &workCounter{}
	a := s.startReplica(appService, "a")
	n := s.startReadyNode("n1")
	a.Script(work.counted(func(w io.Writer, r *onplatform.Request) bool {
		event := "id: 1\ndata: " + strings.Repeat("x", 1<<16) + "\n\n"
		go func() {
			_, _ = io.WriteString(w, "HTTP/1.1 200 OK\r\nServer-Stamp: s\r\nRequest-Id: "+r.ID()+"\r\nTransfer-Encoding: chunked\r\n\r\n")
			for {
				if _, err := fmt.Fprintf(w, "%x\r\n%s\r\n", len(event), event); err != nil {
					return // The connection was closed.
				}
			}
		}()
		<-r.Disconnected
		return false
	}))
	c := n.dial()
	c.write(request("POST", "/stream/x", "body"))
	s.waitUntil("the request is at the replica", func() bool { return len(a.Received()) == 1 })
	time.Sleep(2 * workTime) // All socket buffers are full.
	work.assertAllEnded(t, c.disconnect(), a)
}

// stalledReplica is a replica that reads nothing from its connections until resume is closed.
type stalledReplica struct {
	ln        net.Listener
	resume    chan struct{}
	accepted  chan struct{}
	completed atomic.Int64 // Requests that were read to their end.
}

// stalledReceiveBuffer is the size in bytes of the receive buffer of its connections.
const stalledReceiveBuffer = 4 << 10

func (s *site) startStalledReplica(service, id string) *stalledReplica {
	lc := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		var failed error
		if err := c.Control(func(fd uintptr) {
			failed = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, stalledReceiveBuffer)
		}); err != nil {
			return err
		}
		return failed
	}}
	ln, err := lc.Listen(s.t.Context(), "tcp", "127.0.0.1:0")
	assert.NilError(s.t, err)
	r := &stalledReplica{ln: ln, resume: make(chan struct{}), accepted: make(chan struct{}, 1)}
	s.t.Cleanup(func() { _ = ln.Close() })
	go r.accept()
	s.store.Put(onplatform.TableUpstreams, id, onplatform.UpstreamRow(service, ln.Addr().(*net.TCPAddr).AddrPort(), 8, "ready"))
	return r
}

func (r *stalledReplica) accept() {
	for {
		conn, err := r.ln.Accept()
		if err != nil {
			return
		}
		r.accepted <- struct{}{}
		go r.serve(conn)
	}
}

func (r *stalledReplica) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	<-r.resume
	req, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	if _, err := io.Copy(io.Discard, req.Body); err == nil {
		r.completed.Add(1)
	}
}

// A replica reads nothing for a while, and its client disconnects meanwhile. Once it reads
// again it must not get a complete request from the socket buffers of the node.
func TestBufferedRequestIsNotDeliveredAfterDisconnect(t *testing.T) {
	s := newSite(t)
	r := s.startStalledReplica(appService, "a")
	n := s.startReadyNode("n1")
	c := n.dial()
	c.write(request("POST", "/safe/x", strings.Repeat("x", 512<<10)))
	<-r.accepted
	time.Sleep(workTime / 2) // The node is sending it.
	disconnectedAt := c.disconnect()
	time.Sleep(time.Until(disconnectedAt.Add(disconnectTime + workTime)))
	close(r.resume)
	time.Sleep(lateArrivalTime)
	assert.Equal(t, r.completed.Load(), int64(0), "the request arrived after its client had disconnected")
}

// requestInProgress returns a client whose request a replica works on without end.
func requestInProgress(t *testing.T) (work *workCounter, a *onplatform.Replica, c *client) {
	s := newSite(t)
	work = &workCounter{}
	a = s.startReplica(appService, "a")
	a.Script(work.counted(onplatform.Hang))
	c = s.startReadyNode("n1").dial()
	c.write(request("GET", "/safe/x", ""))
	s.waitUntil("the request is at the replica", func() bool { return len(a.Received()) == 1 })
	return work, a, c
}

// A client that closes only its sending side counts as disconnected.
func TestClientHalfCloseStopsReplica(t *testing.T) {
	work, a, c := requestInProgress(t)
	assert.NilError(t, c.conn.(*net.TCPConn).CloseWrite())
	work.assertAllEnded(t, time.Now(), a)
}

// A client disconnects while a replica works on its request. Bytes of the client's next request,
// which the node had already read, hid the end of the connection, and the replica worked on.
func TestDisconnectIsNoticedBehindPipelinedRequest(t *testing.T) {
	whole := request("GET", "/safe/x", "")
	for name, next := range map[string]string{
		"whole":                      whole,
		"part":                       whole[:20],
		"more than the node buffers": request("POST", "/safe/x", strings.Repeat("x", 64<<10)),
	} {
		t.Run(name, func(t *testing.T) {
			work, a, c := requestInProgress(t)
			c.write(next)
			time.Sleep(workTime) // The node has read the bytes.
			work.assertAllEnded(t, c.disconnect(), a)
			assert.Equal(t, len(a.Received()), 1)
		})
	}
}

// A client pipelines a second request and disconnects while the first one runs. The node reads
// the second one only after the disconnect and must not send it to a replica.
func TestPipelinedRequestIsNotSentAfterDisconnect(t *testing.T) {
	s := newSite(t)
	work := &workCounter{}
	a := s.startReplica(appService, "a")
	n := s.startReadyNode("n1")
	reached, proceed := make(chan struct{}), make(chan struct{})
	a.Script(work.counted(func(w io.Writer, r *onplatform.Request) bool {
		reached <- struct{}{}
		<-proceed
		return onplatform.OK("done")(w, r)
	}))
	const rounds = 20
	var disconnectedAt time.Time
	for range rounds {
		c := n.dial()
		c.write(request("GET", "/safe/x", ""))
		<-reached
		c.write(request("GET", "/safe/x", ""))
		disconnectedAt = c.disconnect()
		proceed <- struct{}{}
		select {
		case <-reached:
			proceed <- struct{}{}
			t.Error("a request arrived whose client had disconnected before the node read it")
		case <-time.After(workTime):
		}
	}
	work.assertAllEnded(t, disconnectedAt, a)
	assert.Equal(t, len(a.Received()), rounds)
}

// Many clients disconnect at once, right after they have sent their requests. Replicas must not
// go on with any of them.
func TestMassDisconnectLeavesNoRunningRequests(t *testing.T) {
	for name, linger := range map[string]int{"closed": -1, "reset": 0} {
		t.Run(name, func(t *testing.T) {
			s := newSite(t)
			work := &workCounter{}
			a, b := s.startReplica(appService, "a"), s.startReplica(appService, "b")
			a.Script(work.counted(onplatform.Hang))
			b.Script(work.counted(onplatform.Hang))
			n := s.startReadyNode("n1")
			const sent = 200
			var clients sync.WaitGroup
			for range sent {
				c := n.dial()
				assert.NilError(t, c.conn.(*net.TCPConn).SetLinger(linger))
				clients.Go(func() {
					_, _ = io.WriteString(c.conn, request("GET", "/safe/x", "")) // Fails if the node has not accepted it.
					_ = c.conn.Close()
				})
			}
			clients.Wait()
			work.assertAllEnded(t, time.Now(), a, b)
			t.Logf("%d of %d had arrived", countReceived([]*onplatform.Replica{a, b}), sent)
		})
	}
}
