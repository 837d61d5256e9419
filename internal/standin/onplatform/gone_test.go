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
	// leaveTime is within which the work for a client that has left ends.
	leaveTime = 500 * time.Millisecond
	// lateTime is for how long after that it is looked whether anything arrives.
	lateTime = time.Second
)

// work counts the requests that replicas work on.
type work struct{ running atomic.Int64 }

func (k *work) on(script onplatform.Script) onplatform.Script {
	return func(w io.Writer, r *onplatform.Request) bool {
		if strings.HasPrefix(r.Target, "/-/") {
			return onplatform.NotRun(503)(w, r)
		}
		k.running.Add(1)
		defer k.running.Add(-1)
		return script(w, r)
	}
}

// assertEnded looks half a second after clients have left whether a replica still
// works on anything, and then for a while whether anything arrives.
func (k *work) assertEnded(t *testing.T, left time.Time, replicas ...*onplatform.Replica) {
	t.Helper()
	time.Sleep(time.Until(left.Add(leaveTime)))
	assert.Equal(t, k.running.Load(), int64(0), "requests still worked on")
	arrived := arrivals(replicas)
	time.Sleep(lateTime)
	assert.Equal(t, arrivals(replicas), arrived, "a request has arrived late")
	assert.Equal(t, k.running.Load(), int64(0), "requests worked on again")
}

func arrivals(replicas []*onplatform.Replica) int {
	n := 0
	for _, r := range replicas {
		n += len(r.Seen())
	}
	return n
}

func (c *client) leave() time.Time {
	assert.NilError(c.t, c.conn.Close())
	return time.Now()
}

var idField = regexp.MustCompile(`Request-Id: (\S+)`)

func TestClientThatLeavesTheQueueIsNotSent(t *testing.T) {
	s := newSite(t)
	k := &work{}
	r := s.replica(llm, "e")
	release := make(chan struct{})
	let := sync.OnceFunc(func() { close(release) })
	defer let() // The engine waits for it at its end.
	r.Script(k.on(func(w io.Writer, r *onplatform.Request) bool {
		<-release
		return onplatform.Events(1, 1, 0, true)(w, r)
	}))
	n := s.node("n1")
	const sent = 12
	clients := map[string]*client{}
	for range sent {
		text := strings.Replace(prompt("b0"), "/prompt/", "/patient/", 1)
		c := n.dial()
		c.write(text)
		clients[idField.FindStringSubmatch(text)[1]] = c
	}
	s.until("the engine has some", func() bool { return len(r.Seen()) >= 2 })
	time.Sleep(workTime) // No more are let in.
	held := r.Seen()
	assert.Assert(t, len(held) < sent, "none waits")
	for _, in := range held {
		delete(clients, in.ID())
	}
	var left time.Time
	for _, c := range clients {
		left = c.leave()
	}
	let() // The engine has room at the moment at which they leave.
	k.assertEnded(t, left, r)
	assert.Equal(t, len(r.Seen()), len(held))
}

// keptStore starts a store that tells of two parts of the prompt.
func (s *site) keptStore() {
	r, err := onplatform.NewReplica("kv")
	assert.NilError(s.t, err)
	s.t.Cleanup(r.Close)
	r.Script(func(w io.Writer, r *onplatform.Request) bool {
		changes := `[[1,"+","` + model + `@1","aa",500,"` + model + `"],[2,"+","` + model + `@1","b0",300,"` + model + `"]]`
		if !strings.Contains(r.Target, "since=0") {
			time.Sleep(workTime)
			changes = "[]"
		}
		body := `{"boot_epoch":1,"next_token":3,"lost":false,"clock_ms":1000,"events":` + changes + `}`
		_, err := io.WriteString(w, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: "+fmt.Sprint(len(body))+"\r\n\r\n"+body)
		return err == nil
	})
	s.extra = append(s.extra, map[string]any{
		"name": "kv", "kv_store_addr": r.Addr().String(), "zone": "hall-a", "kv_capacity_tokens": 100000,
		"link_mbps": 10000.0, "max_inflight": 12, "managed": true, "first_ms": 0.5,
	})
	s.configure()
}

func TestClientThatLeavesHasTheEngineEndItsFetch(t *testing.T) {
	s := newSite(t)
	s.keptStore()
	k := &work{}
	r := s.replica(llm, "e")
	r.Script(k.on(onplatform.Events(1, 1, 0, true)))
	n := s.node("n1")
	fetched := func() bool {
		seen := r.Seen()
		return len(seen) > 0 && seen[len(seen)-1].Header.Get("Kv-Fetch") != ""
	}
	s.until("prompts are sent with where to fetch from", func() bool {
		n.send(prompt("b0"))
		return fetched()
	})
	r.Script(k.on(onplatform.Hang))
	before := len(r.Seen())
	c := n.dial()
	c.write(prompt("b0"))
	s.until("the prompt is at the engine", func() bool { return len(r.Seen()) > before })
	assert.Assert(t, fetched())
	k.assertEnded(t, c.leave(), r)
	assert.Equal(t, len(r.Seen()), before+1)
}

func TestClientThatLeavesWhileItsBodyIsReadIsNotSent(t *testing.T) {
	s := newSite(t)
	k := &work{}
	a := s.replica(app, "a")
	a.Script(k.on(onplatform.Hang))
	n := s.node("n1")
	head := "POST /safe/x HTTP/1.1\r\nHost: " + host + "\r\nRequest-Id: body-1\r\nAuthorization: Bearer " + key + "\r\n"
	var left time.Time
	for _, text := range []string{
		head + "Content-Length: 9\r\n\r\nabc",
		head + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",
		head + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n",
	} {
		for range 5 {
			c := n.dial()
			c.write(text)
			c.leave()
			c = n.dial()
			c.write(text)
			time.Sleep(10 * time.Millisecond) // The node has read it.
			left = c.leave()
		}
	}
	k.assertEnded(t, left, a)
	assert.Equal(t, len(a.Seen()), 0)
}

// A client leaves at the moment at which its first attempt ends without an answer to
// deliver.
func TestClientThatLeavesHasNoSecondAttempt(t *testing.T) {
	for name, script := range map[string]onplatform.Script{
		"refused": onplatform.NotRun(503),
		"failed":  onplatform.Failed,
		"lost":    onplatform.Cut,
	} {
		t.Run(name, func(t *testing.T) {
			s := newSite(t)
			k := &work{}
			a, b := s.replica(app, "a"), s.replica(app, "b")
			n := s.node("n1")
			at, end := make(chan struct{}), make(chan struct{})
			ended := k.on(func(w io.Writer, r *onplatform.Request) bool {
				at <- struct{}{}
				<-end
				return script(w, r)
			})
			a.Script(ended)
			b.Script(ended)
			const rounds = 20
			var left time.Time
			for range rounds {
				c := n.dial()
				c.write(request("GET", "/safe/x", ""))
				<-at
				left = c.leave()
				end <- struct{}{}
				select {
				case <-at:
					end <- struct{}{}
					t.Error("a second attempt has arrived")
				case <-time.After(workTime):
				}
			}
			k.assertEnded(t, left, a, b)
			assert.Equal(t, arrivals([]*onplatform.Replica{a, b}), rounds)
		})
	}
}

func TestClientThatLeavesHasTheSecondAttemptEnd(t *testing.T) {
	s := newSite(t)
	k := &work{}
	a, b := s.replica(app, "a"), s.replica(app, "b")
	n := s.node("n1")
	var came atomic.Int64
	script := k.on(func(w io.Writer, r *onplatform.Request) bool {
		if came.Add(1) == 1 {
			return onplatform.NotRun(503)(w, r)
		}
		return onplatform.Hang(w, r)
	})
	a.Script(script)
	b.Script(script)
	c := n.dial()
	c.write(request("GET", "/safe/x", ""))
	s.until("the second attempt is at a replica", func() bool { return came.Load() == 2 })
	k.assertEnded(t, c.leave(), a, b)
	assert.Equal(t, came.Load(), int64(2))
}

func TestClientThatLeavesInsideItsAnswerHasItEnd(t *testing.T) {
	begun := onplatform.Events(1, 3, time.Millisecond, false)
	for path, begin := range map[string]onplatform.Script{
		"/stream/x": begun,
		"/resume/x": begun,
		"/safe/x":   onplatform.Raw("HTTP/1.1 200 OK\r\nRequest-Id: %ID%\r\nServer-Stamp: s\r\nContent-Length: 9\r\n\r\nabc", true),
	} {
		t.Run(path, func(t *testing.T) {
			s := newSite(t)
			k := &work{}
			a, b := s.replica(app, "a"), s.replica(app, "b")
			n := s.node("n1")
			script := k.on(func(w io.Writer, r *onplatform.Request) bool {
				begin(w, r)
				return onplatform.Hang(w, r) // What comes next takes long.
			})
			a.Script(script)
			b.Script(script)
			c := n.dial()
			c.write(request("POST", path, "body"))
			s.until("the request is at a replica", func() bool { return len(a.Seen())+len(b.Seen()) > 0 })
			time.Sleep(workTime / 2) // Its answer has begun.
			k.assertEnded(t, c.leave(), a, b)
			assert.Equal(t, arrivals([]*onplatform.Replica{a, b}), 1)
		})
	}
}

// A client that reads nothing any more and then leaves: the node is held by writing to
// it.
func TestClientThatLeavesAStreamThatItDidNotReadHasItEnd(t *testing.T) {
	s := newSite(t)
	k := &work{}
	a := s.replica(app, "a")
	n := s.node("n1")
	a.Script(k.on(func(w io.Writer, r *onplatform.Request) bool {
		event := "id: 1\ndata: " + strings.Repeat("x", 1<<16) + "\n\n"
		go func() {
			_, _ = io.WriteString(w, "HTTP/1.1 200 OK\r\nServer-Stamp: s\r\nRequest-Id: "+r.ID()+"\r\nTransfer-Encoding: chunked\r\n\r\n")
			for {
				if _, err := fmt.Fprintf(w, "%x\r\n%s\r\n", len(event), event); err != nil {
					return // The connection has ended.
				}
			}
		}()
		<-r.Gone
		return false
	}))
	c := n.dial()
	c.write(request("POST", "/stream/x", "body"))
	s.until("the request is at the replica", func() bool { return len(a.Seen()) == 1 })
	time.Sleep(2 * workTime) // All buffers are full.
	k.assertEnded(t, c.leave(), a)
}

// deafReplica is a replica whose connections are not read until it is told to.
type deafReplica struct {
	ln      net.Listener
	hear    chan struct{}
	came    chan struct{}
	arrived atomic.Int64 // Requests that were whole.
}

// deafBuffer is the receive buffer of such a connection, in bytes.
const deafBuffer = 4 << 10

func (s *site) deaf(service, id string) *deafReplica {
	lc := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		var failed error
		if err := c.Control(func(fd uintptr) {
			failed = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, deafBuffer)
		}); err != nil {
			return err
		}
		return failed
	}}
	ln, err := lc.Listen(s.t.Context(), "tcp", "127.0.0.1:0")
	assert.NilError(s.t, err)
	r := &deafReplica{ln: ln, hear: make(chan struct{}), came: make(chan struct{}, 1)}
	s.t.Cleanup(func() { _ = ln.Close() })
	go r.accept()
	s.store.Put(onplatform.TableUpstreams, id, onplatform.UpstreamRow(service, ln.Addr().(*net.TCPAddr).AddrPort(), 8, "ready"))
	return r
}

func (r *deafReplica) accept() {
	for {
		conn, err := r.ln.Accept()
		if err != nil {
			return
		}
		r.came <- struct{}{}
		go r.serve(conn)
	}
}

func (r *deafReplica) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	<-r.hear
	req, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	if _, err := io.Copy(io.Discard, req.Body); err == nil {
		r.arrived.Add(1)
	}
}

// The replica takes no bytes for a while, and then what the node's system still holds.
func TestClientThatLeavesASilentReplicaIsNotSentLate(t *testing.T) {
	s := newSite(t)
	r := s.deaf(app, "a")
	n := s.node("n1")
	c := n.dial()
	c.write(request("POST", "/safe/x", strings.Repeat("x", 512<<10)))
	<-r.came
	time.Sleep(workTime / 2) // It is being sent.
	left := c.leave()
	time.Sleep(time.Until(left.Add(leaveTime + workTime)))
	close(r.hear)
	time.Sleep(lateTime)
	assert.Equal(t, r.arrived.Load(), int64(0), "it arrived after its client had left")
}

// underWay is a client whose request a replica works on, and does not end.
func underWay(t *testing.T) (k *work, a *onplatform.Replica, c *client) {
	s := newSite(t)
	k = &work{}
	a = s.replica(app, "a")
	a.Script(k.on(onplatform.Hang))
	c = s.node("n1").dial()
	c.write(request("GET", "/safe/x", ""))
	s.until("the request is at the replica", func() bool { return len(a.Seen()) == 1 })
	return k, a, c
}

func TestClientThatEndsItsSideHasTheReplicaStop(t *testing.T) {
	k, a, c := underWay(t)
	assert.NilError(t, c.conn.(*net.TCPConn).CloseWrite())
	k.assertEnded(t, time.Now(), a)
}

// Behind the request that a replica works on, the node has bytes of the client's next
// ones when the client leaves.
func TestClientThatLeavesBehindItsNextRequestHasTheReplicaStop(t *testing.T) {
	whole := request("GET", "/safe/x", "")
	for name, next := range map[string]string{
		"whole":                      whole,
		"part":                       whole[:20],
		"more than the node buffers": request("POST", "/safe/x", strings.Repeat("x", 64<<10)),
	} {
		t.Run(name, func(t *testing.T) {
			k, a, c := underWay(t)
			c.write(next)
			time.Sleep(workTime) // The node has read it.
			k.assertEnded(t, c.leave(), a)
			assert.Equal(t, len(a.Seen()), 1)
		})
	}
}

// The node comes to a request only once its client has left: it was busy with the one
// before it.
func TestRequestThatTheNodeReadsAfterItsClientHasLeftIsNotSent(t *testing.T) {
	s := newSite(t)
	k := &work{}
	a := s.replica(app, "a")
	n := s.node("n1")
	at, end := make(chan struct{}), make(chan struct{})
	a.Script(k.on(func(w io.Writer, r *onplatform.Request) bool {
		at <- struct{}{}
		<-end
		return onplatform.OK("done")(w, r)
	}))
	const rounds = 20
	var left time.Time
	for range rounds {
		c := n.dial()
		c.write(request("GET", "/safe/x", ""))
		<-at
		c.write(request("GET", "/safe/x", ""))
		left = c.leave()
		end <- struct{}{}
		select {
		case <-at:
			end <- struct{}{}
			t.Error("a request has arrived whose client had left before it was read")
		case <-time.After(workTime):
		}
	}
	k.assertEnded(t, left, a)
	assert.Equal(t, len(a.Seen()), rounds)
}

// Many clients at once give up as soon as they have sent.
func TestClientsThatLeaveAtOnceLeaveNoWork(t *testing.T) {
	for name, linger := range map[string]int{"closed": -1, "reset": 0} {
		t.Run(name, func(t *testing.T) {
			s := newSite(t)
			k := &work{}
			a, b := s.replica(app, "a"), s.replica(app, "b")
			a.Script(k.on(onplatform.Hang))
			b.Script(k.on(onplatform.Hang))
			n := s.node("n1")
			const sent = 200
			var clients sync.WaitGroup
			for range sent {
				c := n.dial()
				assert.NilError(t, c.conn.(*net.TCPConn).SetLinger(linger))
				clients.Go(func() {
					_, _ = io.WriteString(c.conn, request("GET", "/safe/x", "")) // The node may have gone no further.
					_ = c.conn.Close()
				})
			}
			clients.Wait()
			k.assertEnded(t, time.Now(), a, b)
			t.Logf("%d of %d had arrived", arrivals([]*onplatform.Replica{a, b}), sent)
		})
	}
}
