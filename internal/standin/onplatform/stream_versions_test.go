package onplatform_test

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/drumpath/drumpath/internal/netproxy"
	"github.com/drumpath/drumpath/internal/standin/onplatform"
)

const (
	// eventsPerStream and eventPause make streams that last some tenths of a second.
	eventsPerStream = 12
	eventPause      = 15 * time.Millisecond
	// maxMixedStreams is how many streams may hold events of several versions, and minResumedShare
	// the least share of the streams taken up that go on, relative to that of new streams that begin.
	maxMixedStreams = 2
	minResumedShare = 0.5
	// fewestTakenUp is how many streams must be taken up for the share to count.
	fewestTakenUp = 12
)

// eventWriter is a replica whose events name the version of its software.
type eventWriter struct {
	*onplatform.Replica
	version string
	// breakShare is the probability that a stream breaks off, in hundredths.
	breakShare atomic.Int32
}

func (s *site) startEventWriter(id, version string) *eventWriter {
	r := &eventWriter{Replica: s.newReplica(id), version: version}
	r.Script(r.write)
	row := onplatform.UpstreamRow(appService, r.Addr(), 1000, "ready")
	row["config_version"] = version
	s.store.Put(onplatform.TableUpstreams, r.ID, row)
	return r
}

func (r *eventWriter) write(w io.Writer, in *onplatform.Request) bool {
	return onplatform.RestOfStream(r.version, eventsPerStream, eventPause, float64(r.breakShare.Load())/100)(w, in)
}

// streamTally counts streams as clients hold them.
type streamTally struct {
	sync.Mutex
	tried, begun     int // New streams, and those of them that brought an event.
	complete         int
	takenUp, resumed int // Streams that broke off and were taken up, and those that went on.
	mixed            int // Streams with events of several versions.
	answers          map[int]int
	examples         []string
}

// resumingClient reads streams, and takes up those that break off at any node.
type resumingClient struct {
	node   func() string // Returns the address of a node.
	tally  *streamTally
	lastID atomic.Int64
	name   string
	habits clientHabits
}

// clientHabits are how a client takes up streams.
type clientHabits struct {
	returns bool // It takes streams up that broke off.
	names   bool // It names the attempt that brought the first event.
	// dropShare is the probability that the connection of an attempt breaks after some events.
	dropShare float64
}

// heldStream is what a client has of a stream.
type heldStream struct {
	versions  []string
	lastEvent string
	begunBy   string
	complete  bool
}

func (h *heldStream) mixed() bool {
	for _, v := range h.versions {
		if v != h.versions[0] {
			return true
		}
	}
	return false
}

const (
	maxReturns     = 4
	clientDeadline = 4 * time.Second
)

// readStream reads one stream, taking it up again until it is complete or given up.
func (c *resumingClient) readStream() {
	var h heldStream
	end := time.Now().Add(clientDeadline)
	begun, _ := c.tryUntilEvents(&h, end)
	c.tally.Lock()
	c.tally.tried++
	if begun {
		c.tally.begun++
	}
	c.tally.Unlock()
	for begun && c.habits.returns && !h.complete && time.Now().Before(end) {
		goesOn, _ := c.tryUntilEvents(&h, end)
		c.tally.Lock()
		c.tally.takenUp++
		if goesOn {
			c.tally.resumed++
		}
		c.tally.Unlock()
		if !goesOn {
			break
		}
	}
	c.tally.Lock()
	defer c.tally.Unlock()
	if h.complete {
		c.tally.complete++
	}
	if h.mixed() {
		c.tally.mixed++
		c.tally.examples = append(c.tally.examples, fmt.Sprintf("%s: %v", h.begunBy, h.versions))
	}
}

// tryUntilEvents makes attempts until one brings events, the client is told not to return, or its
// tries are used up.
func (c *resumingClient) tryUntilEvents(h *heldStream, end time.Time) (events, again bool) {
	for range maxReturns {
		before := len(h.versions)
		status, retryAfter := c.attempt(h, end)
		c.tally.Lock()
		c.tally.answers[status]++
		c.tally.Unlock()
		if len(h.versions) > before || h.complete {
			return true, true
		}
		if status >= 400 && status < 500 {
			return false, false
		}
		time.Sleep(max(retryAfter, 10*time.Millisecond))
	}
	return false, true
}

// attempt makes one attempt and adds the events that it brings.
func (c *resumingClient) attempt(h *heldStream, end time.Time) (status int, retryAfter time.Duration) {
	id := fmt.Sprintf("%s-%d", c.name, c.lastID.Add(1))
	head := []string{
		"POST /resume/x HTTP/1.1", "Host: " + host, "Request-Id: " + id, "Authorization: Bearer " + key,
		fmt.Sprintf("Deadline-Ms: %d", time.Until(end).Milliseconds()), "Content-Length: 0",
	}
	if h.lastEvent != "" {
		head = append(head, "Last-Event-Id: "+h.lastEvent)
		if c.habits.names {
			head = append(head, "Resumes: "+h.begunBy)
		}
	}
	conn, err := net.DialTimeout("tcp", c.node(), time.Second)
	if err != nil {
		return 0, 0
	}
	defer func() { _ = conn.Close() }() // All that counts has been read.
	if conn.SetDeadline(end) != nil {
		return 0, 0
	}
	if _, err := io.WriteString(conn, strings.Join(head, "\r\n")+"\r\n\r\n"); err != nil {
		return 0, 0
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, 0
	}
	defer closeBody(resp)
	if resp.StatusCode != http.StatusOK {
		seconds, _ := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64) // 0 without one.
		return resp.StatusCode, time.Duration(seconds * float64(time.Second))
	}
	limit := eventsPerStream
	if rand.Float64() < c.habits.dropShare {
		limit = 1 + rand.IntN(eventsPerStream/2)
	}
	err = h.readEvents(resp.Body, id, limit)
	h.complete = err == nil
	return resp.StatusCode, 0
}

// readEvents reads whole events until the end, for which it returns nil, an error, or the limit.
func (h *heldStream) readEvents(body io.Reader, attempt string, limit int) error {
	r := bufio.NewReader(body)
	for event, read := "", 0; ; {
		line, err := r.ReadString('\n')
		if err == io.EOF && line == "" && event == "" {
			return nil
		}
		if err != nil {
			return io.ErrUnexpectedEOF
		}
		if event += line; line != "\n" {
			continue
		}
		var version string
		if _, err := fmt.Sscanf(event, "id: %s\ndata: %s\n", &h.lastEvent, &version); err != nil {
			return err
		}
		if len(h.versions) == 0 {
			h.begunBy = attempt
		}
		h.versions = append(h.versions, version)
		event = ""
		if read++; read > limit {
			return io.ErrUnexpectedEOF
		}
	}
}

// versionFleet is a fleet of nodes in front of replicas of several versions, with clients that
// read streams.
type versionFleet struct {
	*site
	tally streamTally

	mu    sync.Mutex
	nodes []*node
}

func newVersionFleet(t *testing.T, nodes int, versions ...string) *versionFleet {
	f := &versionFleet{site: newSite(t)}
	f.tally.answers = map[int]int{}
	f.storeProxy = f.newProxy(f.store.Addr())
	for _, version := range versions {
		f.startVersionPair(version)
	}
	for i := range nodes {
		f.nodes = append(f.nodes, f.startNode(fmt.Sprintf("n%d", i)))
	}
	f.waitUntil("the nodes know each other", func() bool {
		for _, n := range f.nodes {
			if !n.isReady() || nodeCount(n) < nodes || n.send(request("POST", "/resume/x", "")).status != http.StatusOK {
				return false
			}
		}
		return true
	})
	return f
}

// startVersionPair starts two replicas of a version; a tenth of their streams breaks off.
func (f *versionFleet) startVersionPair(version string) {
	for _, suffix := range []string{"a", "b"} {
		f.startEventWriter(version+suffix, version).breakShare.Store(10)
	}
}

// node returns the address of a random node.
func (f *versionFleet) node() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.nodes[rand.IntN(len(f.nodes))].entry
}

// drawNodes returns the indexes of n nodes.
func (f *versionFleet) drawNodes(n int) []int { return rand.Perm(len(f.nodes))[:n] }

// kill ends nodes without a stop, all at once, and starts them again. With drain, they are stopped
// instead.
func (f *versionFleet) kill(drain bool, indexes ...int) {
	var wg sync.WaitGroup
	for _, i := range indexes {
		wg.Go(func() {
			f.mu.Lock()
			old := f.nodes[i]
			f.mu.Unlock()
			if drain {
				old.Drain()
			}
			old.close()
			time.Sleep(100 * time.Millisecond)
			settings := old.settings
			started := f.startNodeWith(settings)
			f.mu.Lock()
			defer f.mu.Unlock()
			f.nodes[i] = started
		})
	}
	wg.Wait()
}

// read has clients read streams until the returned function is called.
func (f *versionFleet) read(clients int, habits clientHabits) (finish func()) {
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for i := range clients {
		c := &resumingClient{node: f.node, tally: &f.tally, name: fmt.Sprintf("c%d", i), habits: habits}
		wg.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
					c.readStream()
				}
			}
		})
	}
	return func() {
		close(stop)
		wg.Wait()
	}
}

// assertStreamsKeepTheirVersion checks what the clients hold; inTouch is false if most streams were
// taken up at nodes that had just started.
func (f *versionFleet) assertStreamsKeepTheirVersion(inTouch bool) {
	f.t.Helper()
	c := &f.tally
	f.t.Logf("%d streams tried, %d begun, %d taken up, %d went on, %d mixed; answers %v", c.tried, c.begun, c.takenUp, c.resumed, c.mixed, c.answers)
	assert.Check(f.t, c.mixed <= maxMixedStreams, "%d streams with events of several versions, such as %v", c.mixed, c.examples[:min(3, len(c.examples))])
	if c.takenUp < fewestTakenUp || !inTouch {
		return
	}
	resumed, begun := float64(c.resumed)/float64(c.takenUp), float64(c.begun)/float64(c.tried)
	assert.Check(f.t, resumed >= minResumedShare*begun, "%.2f of the streams taken up went on, %.2f of the new ones began", resumed, begun)
}

// A stream that broke off was repeated at any replica, also at one of another version.
func TestBrokenStreamIsRepeatedAtItsOwnVersionOnly(t *testing.T) {
	s := newSite(t)
	s.routes[2]["max_attempts"] = 4
	s.configure()
	for _, version := range []string{"v1", "v1.1", "v1.2"} {
		for _, suffix := range []string{"a", "b"} {
			s.startEventWriter(version+suffix, version).breakShare.Store(60)
		}
	}
	n := s.startReadyNode("n1")
	f := &versionFleet{site: s, nodes: []*node{n}}
	f.tally.answers = map[int]int{}
	finish := f.read(20, clientHabits{})
	time.Sleep(4 * time.Second)
	finish()
	f.assertStreamsKeepTheirVersion(true)
	assert.Check(t, float64(f.tally.complete) >= minResumedShare*float64(f.tally.begun), "%d of %d are complete", f.tally.complete, f.tally.begun)
}

// A stream that began at a version that is not listed could be joined with another one by a node that has
// not heard of the version.
func TestNoStreamBeginsAtVersionThatIsNotListed(t *testing.T) {
	s := newSite(t)
	old := s.startEventWriter("old", "v1")
	n := s.startReadyNode("n1")
	s.waitUntil("the version is listed", func() bool { return n.send(request("POST", "/resume/x", "")).status == http.StatusOK })
	s.store.FailWrites(true)
	unlisted := s.startEventWriter("new", "v2")
	s.store.Put(onplatform.TableUpstreams, old.ID, onplatform.UpstreamRow(appService, old.Addr(), 1000, "draining"))
	s.waitUntil("the node knows both", func() bool { return n.send(request("POST", "/resume/x", "")).status == http.StatusServiceUnavailable })
	assert.Equal(t, n.send(request("GET", "/safe/x", "")).status, http.StatusOK, "what is not a stream needs no list")
	received := len(unlisted.Received())
	for range 5 {
		assert.Equal(t, n.send(request("POST", "/resume/x", "")).status, http.StatusServiceUnavailable)
	}
	assert.Equal(t, len(unlisted.Received()), received)
	s.store.FailWrites(false)
	s.waitUntil("streams begin at the new version", func() bool {
		return strings.Contains(n.send(request("POST", "/resume/x", "")).body, "v2")
	})
}

// While a service has one version nothing is told, so a node that stops has to hand over what it knows before
// another version appears.
func TestStoppingNodeHandsOverWhereItsStreamsBegan(t *testing.T) {
	f := newVersionFleet(t, 4, "v1")
	stopped := f.nodes[0]
	c := &resumingClient{node: func() string { return stopped.entry }, tally: &f.tally, name: "c", habits: clientHabits{dropShare: 1}}
	var held []*heldStream
	for range 20 {
		var h heldStream
		c.attempt(&h, time.Now().Add(clientDeadline))
		assert.Assert(t, h.lastEvent != "" && !h.complete)
		held = append(held, &h)
	}
	stopped.Drain()
	stopped.close()
	f.startVersionPair("v2")
	c = &resumingClient{node: func() string { return f.nodes[1].entry }, tally: &f.tally, name: "d", habits: clientHabits{names: true}}
	f.waitUntil("the other version is listed", func() bool { return f.nodes[1].listedVersions(appService) == 2 })
	for _, h := range held {
		status, _ := c.attempt(h, time.Now().Add(clientDeadline))
		assert.Equal(t, status, http.StatusOK)
		assert.Assert(t, !h.mixed(), "%v", h.versions)
	}
}

// listedVersions is how many versions of a service the node knows to be listed.
func (n *node) listedVersions(service string) int {
	var status struct {
		Origins struct {
			Versions map[string]int `json:"versions"`
		} `json:"origins"`
	}
	n.readMetrics(&status)
	return status.Origins.Versions[service]
}

// The service of a split route followed from the ID of the client's attempt, which is new when it returns, so a
// stream went on at another service.
func TestStreamsOfSplitRouteGoOnAtTheirService(t *testing.T) {
	const otherService = "other-app"
	s := newSite(t)
	s.extraServices = append(s.extraServices, map[string]any{"name": otherService, "health_path": "/healthz", "max_conns": 100})
	delete(s.routes[2], "service")
	s.routes[2]["traffic_split"] = []map[string]any{{"service": appService, "weight": 1}, {"service": otherService, "weight": 1}}
	s.configure()
	for _, service := range []string{appService, otherService} {
		r := &eventWriter{Replica: s.newReplica("of-" + service), version: service}
		r.Script(r.write)
		s.store.Put(onplatform.TableUpstreams, r.ID, onplatform.UpstreamRow(service, r.Addr(), 1000, "ready"))
	}
	f := &versionFleet{site: s, nodes: []*node{s.startReadyNode("n1"), s.startReadyNode("n2"), s.startReadyNode("n3")}}
	f.tally.answers = map[int]int{}
	s.waitUntil("the nodes know each other and the versions", func() bool {
		return nodeCount(f.nodes[0]) == 3 && f.nodes[0].listedVersions(appService) == 1 && f.nodes[0].listedVersions(otherService) == 1
	})
	finish := f.read(20, clientHabits{returns: true, names: true, dropShare: 0.3})
	time.Sleep(2 * time.Second)
	finish()
	f.assertStreamsKeepTheirVersion(true)
	assert.Assert(t, f.tally.takenUp >= fewestTakenUp)
}

// A replica was started again under its ID with another version while a stream waited there: its events were
// joined with those of the version that had begun the stream.
func TestReplicaWithOtherSoftwareDoesNotGoOnWithStream(t *testing.T) {
	s := newSite(t)
	begins := s.startEventWriter("begins", "v1")
	begins.Script(onplatform.Events(1, 3, eventPause, false))
	n := s.startReadyNode("n1")
	s.waitUntil("the version is listed", func() bool { return n.send(request("POST", "/resume/x", "")).status == http.StatusOK })
	waits := s.startEventWriter("waits", "v1")
	arrived := make(chan struct{}, 10)
	upgraded := make(chan struct{})
	waits.Script(func(w io.Writer, in *onplatform.Request) bool {
		arrived <- struct{}{}
		<-upgraded
		return waits.write(w, in)
	})
	var h heldStream
	c := &resumingClient{node: func() string { return n.entry }, tally: &streamTally{answers: map[int]int{}}, name: "c"}
	s.waitUntil("a stream waits at the other replica", func() bool {
		go c.attempt(&heldStream{}, time.Now().Add(clientDeadline))
		select {
		case <-arrived:
			return true
		case <-time.After(200 * time.Millisecond):
			return false
		}
	})
	for h.lastEvent == "" {
		c.attempt(&h, time.Now().Add(300*time.Millisecond))
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		c.attempt(&h, time.Now().Add(clientDeadline))
	}()
	row := onplatform.UpstreamRow(appService, waits.Addr(), 1000, "ready")
	row["config_version"] = "v2"
	waits.version = "v2"
	s.store.Put(onplatform.TableUpstreams, waits.ID, row)
	time.Sleep(500 * time.Millisecond) // Until the node has read it.
	close(upgraded)
	<-done
	assert.Assert(t, !h.mixed(), "%v", h.versions)
}

// The node that a client returned to knew nothing of where its stream had begun, and sent it to
// replicas of any version.
func TestStreamsThatClientsTakeUpGoOnAtTheirVersion(t *testing.T) {
	const nodes = 6
	for _, c := range []struct {
		name    string
		inTouch bool
		fault   func(f *versionFleet)
	}{
		{"connections are reset", true, func(*versionFleet) { time.Sleep(3 * time.Second) }},
		{"nodes are killed", true, func(f *versionFleet) {
			for range 5 {
				f.kill(false, f.drawNodes(1)...)
				time.Sleep(400 * time.Millisecond)
			}
		}},
		{"half of the nodes are killed at once", true, func(f *versionFleet) {
			for range 2 {
				f.kill(false, f.drawNodes(nodes/2)...)
				time.Sleep(1500 * time.Millisecond)
			}
		}},
		{"all nodes are killed at once", false, func(f *versionFleet) {
			time.Sleep(2 * time.Second)
			f.kill(false, f.drawNodes(nodes)...)
			time.Sleep(3 * time.Second)
		}},
		{"nodes are rolled", true, func(f *versionFleet) {
			for i := range 3 {
				f.kill(true, i)
			}
		}},
		{"the store is silent", true, func(f *versionFleet) {
			held := netproxy.Link{Held: true}
			f.storeProxy.Set(held, held)
			time.Sleep(2 * time.Second)
			f.kill(false, f.drawNodes(1)...)
			time.Sleep(time.Second)
			f.storeProxy.Heal()
			time.Sleep(time.Second)
		}},
		{"another version appears", true, func(f *versionFleet) {
			time.Sleep(500 * time.Millisecond)
			f.startVersionPair("v2")
			time.Sleep(500 * time.Millisecond)
			f.kill(false, f.drawNodes(2)...)
			f.startVersionPair("v3")
			f.kill(false, f.drawNodes(2)...)
			time.Sleep(time.Second)
		}},
	} {
		t.Run(c.name, func(t *testing.T) { // Not in parallel: each puts a fleet under load.
			f := newVersionFleet(t, nodes, "v1", "v1.1", "v1.2")
			finish := f.read(24, clientHabits{returns: true, names: true, dropShare: 0.2})
			c.fault(f)
			finish()
			f.assertStreamsKeepTheirVersion(c.inTouch)
		})
	}
}
