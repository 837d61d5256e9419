package onplatform_test

import (
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/drumpath/drumpath/internal/standin/onplatform"
	"github.com/drumpath/drumpath/pkg/suspect"
	"github.com/drumpath/drumpath/service/suspects"
)

const (
	// crashPart ends replicas, whatever else the prompt holds. crashPart2 does so in some tests.
	crashPart, crashPart2 = "dead", "dead2"
	// engineCount engines are replaced under a new ID engineReplacementDelay after their end.
	engineCount            = 12
	engineReplacementDelay = 600 * time.Millisecond
	// wholeStream is the number of events of a whole stream.
	wholeStream = 8
	// promptPause is the pause between two events.
	promptPause = 10 * time.Millisecond
	// soundClients send prompts one after the other that share their first part and one of soundParts.
	soundClients = 15
	soundParts   = 7
	// crashPartDelay is the time after the fifth end within which all nodes must know the part, and
	// maxArrivals how many prompts with it may reach replicas later.
	crashPartDelay = time.Second
	maxArrivals    = 3
	// minServedShare is the share of sound prompts that is served at the least once the part is known.
	minServedShare = 0.5
)

// crashKind is how prompts with crashPart end their replicas.
type crashKind struct {
	parts       string // Parts of the prompt, with %d for one of soundParts and %s for crashPart and crashPart2 in turn.
	events      int    // Events before the end; a negative number means that no answer begins.
	unframed    bool   // Streams have neither a length nor chunks.
	delay       time.Duration
	probability float64 // 0 for always.
	soundFor    time.Duration
	pause       time.Duration // Between two of these prompts, 60 ms by default.
	othersEnd   time.Duration // Between ends of replicas for other reasons, 0 for none.
}

// engineFleet is a fleet of engines that end under prompts with crashPart.
type engineFleet struct {
	s         *site
	kind      crashKind
	startedAt time.Time

	mu       sync.Mutex
	lastID   int
	live     map[string]*onplatform.Replica
	arrivals map[string][]time.Time // When prompts reached engines, by their part that ends engines.
	crashes  map[string][]time.Time // When engines ended under them, by the same part.
	wg       sync.WaitGroup
}

func (s *site) newEngineFleet(kind crashKind) *engineFleet {
	f := &engineFleet{s: s, kind: kind, live: map[string]*onplatform.Replica{}, arrivals: map[string][]time.Time{}, crashes: map[string][]time.Time{}, startedAt: time.Now()}
	s.t.Cleanup(f.wg.Wait)
	for range engineCount {
		f.start()
	}
	return f
}

// start starts and lists one more engine.
func (f *engineFleet) start() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lastID++
	r := f.s.newReplica(fmt.Sprintf("e%d", f.lastID))
	r.Script(f.script(r))
	f.live[r.ID] = r
	f.s.putRow(r, replicaRow(llmService, r, map[string]any{"models": []map[string]any{{"name": model, "config_version": 1}}}))
}

func (f *engineFleet) script(r *onplatform.Replica) onplatform.Script {
	return func(w io.Writer, in *onplatform.Request) bool {
		part := crashPartOf(in)
		if part == "" || time.Since(f.startedAt) < f.kind.soundFor {
			return f.stream(wholeStream)(w, in)
		}
		f.mu.Lock()
		f.arrivals[part] = append(f.arrivals[part], time.Now())
		f.mu.Unlock()
		if f.kind.probability > 0 && rand.Float64() >= f.kind.probability {
			return f.stream(wholeStream)(w, in)
		}
		time.Sleep(f.kind.delay + 20*time.Millisecond)
		if f.kind.events >= 0 {
			f.stream(f.kind.events)(w, in)
		}
		f.end(r, part)
		return false
	}
}

// crashPartOf returns the part of a prompt that ends engines, "" if it has none.
func crashPartOf(in *onplatform.Request) string {
	parts := strings.Split(in.Header.Get("Prefix-Hash"), ",")
	for _, p := range parts[:len(parts)-1] {
		if id, _, _ := strings.Cut(p, ":"); id == crashPart || id == crashPart2 {
			return id
		}
	}
	return ""
}

// stream writes n events; the stream is whole with wholeStream events.
func (f *engineFleet) stream(n int) onplatform.Script {
	events := make([]string, n)
	for i := range events {
		events[i] = fmt.Sprintf("id: %d\ndata: piece %d\n\n", i+1, i+1)
	}
	if f.kind.unframed {
		return onplatform.UnframedStream(events, promptPause)
	}
	return onplatform.Stream(events, promptPause, n == wholeStream)
}

// end ends an engine under a prompt with the given part, "" for another reason; another engine takes its place after
// engineReplacementDelay.
func (f *engineFleet) end(r *onplatform.Replica, part string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.live[r.ID] == nil {
		return
	}
	delete(f.live, r.ID)
	if part != "" {
		f.crashes[part] = append(f.crashes[part], time.Now())
	}
	r.Kill()
	f.wg.Go(func() {
		time.Sleep(engineReplacementDelay)
		f.start()
		f.s.store.Delete(onplatform.TableUpstreams, r.ID)
	})
}

// endSome ends n engines for reasons that have nothing to do with their prompts.
func (f *engineFleet) endSome(n int) {
	f.mu.Lock()
	var some []*onplatform.Replica
	for _, r := range f.live {
		if len(some) < n {
			some = append(some, r)
		}
	}
	f.mu.Unlock()
	for _, r := range some {
		f.end(r, "")
	}
}

// counts returns how many engines ended under prompts with crashPart and crashPart2, and the most of these prompts
// that reached engines later than crashPartDelay after the fifth end under the same part.
func (f *engineFleet) counts() (crashes, lateArrivals int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for part, ends := range f.crashes {
		crashes += len(ends)
		if len(ends) < 5 {
			continue
		}
		late := 0
		for _, at := range f.arrivals[part] {
			if at.After(ends[4].Add(crashPartDelay)) {
				late++
			}
		}
		lateArrivals = max(lateArrivals, late)
	}
	return crashes, lateArrivals
}

// partsPrompt returns a prompt that no other one is like, with the given parts before its last one.
func partsPrompt(parts string) string {
	n := requestCount.Add(1)
	return request("POST", "/prompt/x", fmt.Sprint("text ", n), "Model: "+model, "Token-Usage: 900,10", fmt.Sprintf("Prefix-Hash: %s,%x:100", parts, n))
}

// soundLoad counts the sound prompts that were sent since it was last reset.
type soundLoad struct {
	sent, served, blocked atomic.Int64
	// truncated counts answers that looked whole and lacked events.
	truncated atomic.Int64
	stop      chan struct{}
	wg        sync.WaitGroup
}

// startSoundLoad starts soundClients at the nodes.
func startSoundLoad(nodes func() []*node) *soundLoad {
	l := &soundLoad{stop: make(chan struct{})}
	for i := range soundClients {
		l.wg.Go(func() {
			for j := 0; ; j++ {
				select {
				case <-l.stop:
					return
				default:
				}
				list := nodes()
				got := list[(i+j)%len(list)].sendAndClose(partsPrompt(fmt.Sprintf("aa:500,b%d:300", rand.IntN(soundParts))))
				l.count(got)
				if got.status != 200 {
					time.Sleep(10 * retryPause)
				}
			}
		})
	}
	return l
}

func (l *soundLoad) count(got reply) {
	l.sent.Add(1)
	switch {
	case got.status == 400:
		l.blocked.Add(1)
	case got.status != 200 || got.incomplete:
	case strings.Count(got.body, "data:") < wholeStream:
		l.truncated.Add(1)
	default:
		l.served.Add(1)
	}
}

func (l *soundLoad) reset() {
	l.sent.Store(0)
	l.served.Store(0)
}

func (l *soundLoad) share() float64 { return float64(l.served.Load()) / max(1, float64(l.sent.Load())) }

func (l *soundLoad) close() {
	close(l.stop)
	l.wg.Wait()
}

// sendCrashParts sends prompts with the parts of kind to the nodes in turn, for the duration d, and counts the answers.
func (f *engineFleet) sendCrashParts(nodes func() []*node, d time.Duration) (answers map[string]int, truncated int) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	answers = map[string]int{}
	pause := f.kind.pause
	if pause == 0 {
		pause = 60 * time.Millisecond
	}
	start := time.Now()
	for i := 0; time.Since(start) < d; i++ {
		list := nodes()
		parts := strings.NewReplacer("%d", strconv.Itoa(i%soundParts), "%s", []string{crashPart, crashPart2}[i%2]).Replace(f.kind.parts)
		wg.Go(func() {
			got := list[i%len(list)].sendAndClose(partsPrompt(parts))
			mu.Lock()
			defer mu.Unlock()
			if got.status == 200 {
				if !got.incomplete && strings.Count(got.body, "data:") < wholeStream {
					truncated++
				}
				got.body = fmt.Sprint("incomplete ", got.incomplete)
			}
			answers[fmt.Sprint(got.status, " ", got.body)]++
		})
		time.Sleep(pause)
	}
	wg.Wait()
	return answers, truncated
}

// Prompts of which no two are alike share a part under which each engine ends. Nodes that remember whole prompts see
// each one for the first time.
func TestPromptPartThatEndsReplicasIsStoppedByAllNodes(t *testing.T) {
	const middle = "aa:500," + crashPart + ":300"
	for name, kind := range map[string]crashKind{
		"before its answer has begun":  {parts: middle, events: -1},
		"after three events, chunked":  {parts: middle, events: 3},
		"after three events, unframed": {parts: middle, events: 3, unframed: true},
		"served for 3 s before":        {parts: middle, events: 3, soundFor: 3 * time.Second},
		"other engines end as well":    {parts: middle, events: -1, othersEnd: 700 * time.Millisecond},
		"one prompt each 0.4 s":        {parts: middle, events: 1, pause: 400 * time.Millisecond, othersEnd: time.Second},
		"the first part":               {parts: crashPart + ":500,b%d:300", events: -1},
		"0.4 s after its arrival":      {parts: middle, events: 0, delay: 400 * time.Millisecond},
		"two parts at once":            {parts: "aa:500,b%d:200,%s:100", events: 3},
		"beside a part of its own":     {parts: "aa:500," + crashPart + ":300,companion:50", events: 3},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSite(t)
			f := s.newEngineFleet(kind)
			list := s.startNodes(5)
			nodes := func() []*node { return list }
			sound := startSoundLoad(nodes)
			time.Sleep(500 * time.Millisecond)
			const measured = 3 * time.Second
			d := 8 * time.Second
			time.AfterFunc(d-measured, sound.reset)
			stop := make(chan struct{})
			var others sync.WaitGroup
			if kind.othersEnd > 0 {
				others.Go(func() {
					for {
						select {
						case <-stop:
							return
						case <-time.After(kind.othersEnd):
							f.endSome(1)
						}
					}
				})
			}
			answers, truncated := f.sendCrashParts(nodes, d)
			close(stop)
			others.Wait()
			sound.close()
			crashes, later := f.counts()
			t.Logf("%d engines ended, %d arrivals later, answers %v; sound: %d of %d served at the end, %d blocked", crashes, later, answers, sound.served.Load(), sound.sent.Load(), sound.blocked.Load())
			assert.Check(t, later <= maxArrivals, "%d prompts reached engines later than %v after the fifth end", later, crashPartDelay)
			assert.Check(t, sound.share() >= minServedShare, "%.2f of the sound prompts were served", sound.share())
			assert.Check(t, sound.blocked.Load() == 0, "%d sound prompts were blocked", sound.blocked.Load())
			assert.Check(t, truncated == 0 && sound.truncated.Load() == 0, "%d and %d answers lack events and looked whole", truncated, sound.truncated.Load())
			final := fmt.Sprintf(`400 {"error":"ends_replicas","part":%q}`, crashPart)
			assert.Check(t, answers[final] > 0, "callers get a final answer: %v", answers)
		})
	}
}

// A part that ends one in two of its engines has finishes as well, so it takes more ends until it is known.
func TestPromptPartThatEndsSomeReplicasIsStopped(t *testing.T) {
	s := newSite(t)
	f := s.newEngineFleet(crashKind{parts: "aa:500," + crashPart + ":300", events: 3, probability: 0.5})
	list := s.startNodes(5)
	nodes := func() []*node { return list }
	sound := startSoundLoad(nodes)
	answers, _ := f.sendCrashParts(nodes, 5*time.Second)
	before, _ := f.counts()
	sound.reset()
	f.sendCrashParts(nodes, 3*time.Second)
	sound.close()
	after, _ := f.counts()
	t.Logf("%d engines ended within 5 s, %d within 8 s, answers %v; sound: %d of %d served at the end, %d blocked", before, after, answers, sound.served.Load(), sound.sent.Load(), sound.blocked.Load())
	assert.Check(t, after == before, "%d engines ended later", after-before)
	assert.Check(t, sound.share() >= minServedShare, "%.2f of the sound prompts were served", sound.share())
	assert.Check(t, sound.blocked.Load() == 0, "%d sound prompts were blocked", sound.blocked.Load())
}

// Nodes that start later, one by one or all together, have to learn the blocked parts before their first prompt.
func TestRestartedNodesStillBlockPromptPart(t *testing.T) {
	s := newSite(t)
	f := s.newEngineFleet(crashKind{parts: "aa:500," + crashPart + ":300", events: 3})
	nodes := s.startNodes(3)
	list := func() []*node { return nodes }
	f.sendCrashParts(list, 3*time.Second)
	ended, _ := f.counts()
	late := []*node{s.startReadyNode("late")}
	f.sendCrashParts(func() []*node { return late }, 500*time.Millisecond)
	late[0].close()
	for _, n := range nodes {
		n.close()
	}
	nodes = s.startNodes(2)
	answers, _ := f.sendCrashParts(list, time.Second)
	after, _ := f.counts()
	assert.Check(t, after == ended, "%d engines ended under nodes started later: %v", after-ended, answers)
	got := nodes[0].sendAndClose(partsPrompt("aa:500,b1:300"))
	assert.Check(t, got.status == 200, "sound prompts are served: %d %s", got.status, got.body)
}

// Engines end by themselves, a third of them at a time, while common parts are in flight at all of them.
func TestCommonPartsAreNotBlockedWhenReplicasEndByThemselves(t *testing.T) {
	for name, unframed := range map[string]bool{"chunked": false, "unframed": true} {
		t.Run(name, func(t *testing.T) {
			s := newSite(t)
			f := s.newEngineFleet(crashKind{unframed: unframed})
			list := s.startNodes(5)
			nodes := func() []*node { return list }
			sound := startSoundLoad(nodes)
			for range 8 {
				time.Sleep(engineReplacementDelay + 50*time.Millisecond)
				f.endSome(engineCount / 3)
			}
			time.Sleep(engineReplacementDelay)
			sound.reset()
			time.Sleep(time.Second)
			sound.close()
			t.Logf("%d of %d served at the end", sound.served.Load(), sound.sent.Load())
			assert.Check(t, sound.blocked.Load() == 0, "%d sound prompts were blocked", sound.blocked.Load())
			assert.Check(t, sound.truncated.Load() == 0, "%d answers lack events and looked whole", sound.truncated.Load())
			assert.Check(t, sound.share() > 0.9, "%d of %d served", sound.served.Load(), sound.sent.Load())
		})
	}
}

// A replica that has too many connections resets new ones. Its answers that ended with their connection were cut short.
func TestUnframedAnswerIsWholeWhileItsReplicaResetsNewConnections(t *testing.T) {
	s := newSite(t)
	r := s.startReplica(appService, "a")
	r.Script(func(w io.Writer, in *onplatform.Request) bool {
		r.ResetNewConnections()
		return onplatform.UnframedStream([]string{"id: 1\ndata: piece\n\n"}, promptPause)(w, in)
	})
	n := s.startReadyNode("n1")
	got := n.send(request("POST", "/stream/x", "text"))
	assert.Assert(t, got.status == 200 && !got.incomplete, "%d %s, incomplete %v", got.status, got.body, got.incomplete)
}

// Prompts that waited in the queue when their part was blocked were refused when their turn came, or their time was over.
func TestQueuedPromptsAreRefusedOnceTheirPartIsBlocked(t *testing.T) {
	s := newSite(t)
	r := s.startReplica(llmService, "e")
	release := make(chan struct{})
	defer close(release) // Close of the engine waits for its requests.
	r.Script(onplatform.After(release, onplatform.Events(1, 1, 0, true)))
	n := s.startReadyNode("n1")
	const sent = 12
	clients := map[string]*client{}
	for range sent {
		text := strings.Replace(partsPrompt("aa:500,"+crashPart+":300"), "/prompt/", "/patient/", 1)
		c := n.dial()
		c.write(text)
		clients[idField.FindStringSubmatch(text)[1]] = c
	}
	s.waitUntil("the engine has some", func() bool { return len(r.Received()) >= 2 })
	time.Sleep(workTime) // The node has sent the engine all that it takes at a time.
	for _, in := range r.Received() {
		delete(clients, in.ID())
	}
	assert.Assert(t, len(clients) > 0, "no request is queued")
	now := time.Now()
	blocked := suspect.PartCause(llmService, crashPart)
	s.store.Put(onplatform.TableNodes, suspects.BlockedRowKey, map[string]any{
		"written": now.UnixMilli(),
		"cases": []map[string]any{{
			"c": blocked.Fingerprint, "s": blocked.QuickHash, "v": llmService, "p": crashPart, "d": 1,
			"e": []map[string]any{{"r": "r1", "b": 900, "a": 800}, {"r": "r2", "b": 700, "a": 600}, {"r": "r3", "b": 500, "a": 400}, {"r": "r4", "b": 300, "a": 200}},
		}},
	})
	s.startReadyNode("n2") // It reads the row, and n1 hears of the block by digest.
	s.waitUntil("n1 knows the block", func() bool { return n.sendAndClose(partsPrompt("bb:500,"+crashPart+":300")).status == 400 })
	known := time.Now()
	for _, c := range clients {
		got := c.read()
		assert.Check(t, got.status == 400, "%d %s", got.status, got.body)
	}
	assert.Check(t, time.Since(known) < 300*time.Millisecond, "refused after %v", time.Since(known))
}

// While such prompts come, nodes stop and others start, the store is silent or refuses writes, or it comes back from a
// copy that lacks the block and all nodes are started anew.
func TestPromptPartIsStoppedWhileNodesAndStoreComeAndGo(t *testing.T) {
	const d = 7 * time.Second
	for name, disturb := range map[string]func(s *site, replaceNode func(), replaceAll func()){
		"nodes": func(_ *site, replaceNode, _ func()) {
			for range 4 {
				time.Sleep(d / 8)
				replaceNode()
			}
		},
		"silent store": func(s *site, _, replaceAll func()) {
			s.store.SetMode(onplatform.ModeSilent)
			time.Sleep(3 * time.Second)
			s.store.SetMode(onplatform.ModeUp)
			time.Sleep(2 * time.Second) // The row is written.
			replaceAll()
		},
		"store from a copy": func(s *site, replaceNode, replaceAll func()) {
			saved := s.store.Copy()
			time.Sleep(2 * time.Second)
			lost := s.store.ReturnFrom(saved)
			s.store.WriteAgain(lost...)
			s.store.Delete(onplatform.TableNodes, suspects.BlockedRowKey)
			replaceNode()
			time.Sleep(3 * time.Second)
			replaceAll()
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSite(t)
			f := s.newEngineFleet(crashKind{parts: "aa:500," + crashPart + ":300", events: 3})
			var mu sync.Mutex
			list := s.startNodes(4)
			nodes := func() []*node {
				mu.Lock()
				defer mu.Unlock()
				return slices.Clone(list)
			}
			started := len(list)
			replace := func(n int) {
				for range n {
					started++
					fresh := s.startReadyNode(fmt.Sprintf("n%d", started))
					mu.Lock()
					old := list[0]
					list = append(list[1:], fresh)
					mu.Unlock()
					time.Sleep(100 * time.Millisecond) // Requests that are being sent to it arrive.
					old.close()
				}
			}
			sound := startSoundLoad(nodes)
			var wg sync.WaitGroup
			wg.Go(func() { disturb(s, func() { replace(1) }, func() { replace(4) }) })
			time.AfterFunc(d-2*time.Second, sound.reset)
			answers, truncated := f.sendCrashParts(nodes, d)
			wg.Wait()
			sound.close()
			crashes, later := f.counts()
			t.Logf("%d engines ended, %d arrivals later, answers %v; sound: %d of %d served at the end, %d blocked", crashes, later, answers, sound.served.Load(), sound.sent.Load(), sound.blocked.Load())
			assert.Check(t, later <= maxArrivals, "%d prompts reached engines later than %v after the fifth end", later, crashPartDelay)
			assert.Check(t, sound.share() >= minServedShare, "%.2f of the sound prompts were served", sound.share())
			assert.Check(t, sound.blocked.Load() == 0, "%d sound prompts were blocked", sound.blocked.Load())
			assert.Check(t, truncated == 0, "%d answers lack events and looked whole", truncated)
		})
	}
}
