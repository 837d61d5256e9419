package soak

import (
	"math/rand/v2"
	"syscall"
	"time"

	"github.com/drumpath/drumpath/internal/netproxy"
	"github.com/drumpath/drumpath/internal/standin/onplatform"
)

// fault is a fault that is injected from outside; inject returns when it is over.
type fault struct {
	name   string
	inject func(s *soak, rng *rand.Rand, d time.Duration)
	// disrupts is set if it disturbs the store or links.
	disrupts bool
}

const (
	// meanFaultPause is the mean pause between two faults; minFaultTime and maxFaultTime
	// bound the duration of one.
	meanFaultPause = 500 * time.Millisecond
	minFaultTime   = 200 * time.Millisecond
	maxFaultTime   = 2500 * time.Millisecond
	// maxRestartPause bounds the pause from the kill of a process to its restart.
	maxRestartPause = time.Second
	// drainTime is how long a replica still serves after it was listed as draining.
	drainTime = 1500 * time.Millisecond
	// maxRewriteTime bounds how long after the store's return the lost rows are written again.
	maxRewriteTime = 2 * time.Second
	// maxProxyDelay bounds the delay that a replica's proxy adds.
	maxProxyDelay = 80 * time.Millisecond
)

var faults = []fault{
	{name: "kill", inject: (*soak).killNode},
	{name: "pause", inject: (*soak).pauseNode},
	{name: "suspend", inject: (*soak).suspendNode},
	{name: "stop", inject: (*soak).stopNode},
	{name: "reread", inject: (*soak).reloadNode},
	{name: "store refuses", inject: storeMode(onplatform.ModeRefusing), disrupts: true},
	{name: "store silent", inject: storeMode(onplatform.ModeSilent), disrupts: true},
	{name: "store behind", inject: storeMode(onplatform.ModeStale), disrupts: true},
	{name: "store forgets", inject: func(s *soak, _ *rand.Rand, _ time.Duration) { s.store.TruncateHistory() }},
	{name: "store returns from a copy", inject: (*soak).returnStore, disrupts: true},
	{name: "store cut", inject: (*soak).cutStore, disrupts: true},
	{name: "store resets", inject: func(s *soak, rng *rand.Rand, _ time.Duration) { s.anyNode(rng).storeProxy.Reset() }, disrupts: true},
	{name: "store connections silent", inject: func(s *soak, rng *rand.Rand, _ time.Duration) { silenceConnections(rng, s.anyNode(rng).storeProxy) }, disrupts: true},
	{name: "replica connections silent", inject: func(s *soak, rng *rand.Rand, _ time.Duration) { silenceConnections(rng, s.anyReplica(rng).proxy) }, disrupts: true},
	{name: "replica slow", inject: (*soak).slowReplica, disrupts: true},
	{name: "replica cut one way", inject: (*soak).cutReplica, disrupts: true},
	{name: "replica resets", inject: func(s *soak, rng *rand.Rand, _ time.Duration) { s.anyReplica(rng).proxy.Reset() }, disrupts: true},
	{name: "replica faulty", inject: (*soak).faultyReplica},
	{name: "replica leaves", inject: (*soak).drainReplica},
	{name: "replica says that it drains", inject: (*soak).drainUnlisted},
	{name: "replica asks for backoff", inject: (*soak).backoffReplica},
	{name: "replica crashes", inject: (*soak).crashReplica},
	{name: "deadly request", inject: (*soak).repeatCrashRequest},
	{name: "deadly part", inject: (*soak).sendCrashParts},
	{name: "configuration", inject: func(s *soak, _ *rand.Rand, _ time.Duration) { s.writeConfiguration() }},
	{name: "weights", inject: func(s *soak, _ *rand.Rand, _ time.Duration) { s.nameWeights() }},
}

func (s *soak) anyNode(rng *rand.Rand) *node { return s.nodes[rng.IntN(len(s.nodes))] }

func (s *soak) anyReplica(rng *rand.Rand) *replica {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.replicas[rng.IntN(len(s.replicas))]
}

// lockNode picks a random node and locks its process for a fault; it returns nil if
// another fault holds the lock.
func (s *soak) lockNode(rng *rand.Rand) *node {
	if n := s.anyNode(rng); n.processMu.TryLock() {
		return n
	}
	return nil
}

func (s *soak) killNode(rng *rand.Rand, _ time.Duration) {
	pause := time.Duration(rng.Int64N(int64(maxRestartPause)))
	if n := s.lockNode(rng); n != nil {
		defer n.processMu.Unlock()
		s.recordStartError(n.kill(pause))
	}
}

func (s *soak) pauseNode(rng *rand.Rand, d time.Duration) {
	s.pauseProcess(rng, d, func(*node) error { return nil })
}

// pauseProcess stops a process for d and calls beforeResume before it resumes it.
func (s *soak) pauseProcess(rng *rand.Rand, d time.Duration, beforeResume func(n *node) error) {
	if n := s.lockNode(rng); n != nil {
		defer n.processMu.Unlock()
		s.recordStartError(n.pause(d, func() error { return beforeResume(n) }))
	}
}

// suspensions are the durations for which machines are suspended.
var suspensions = []time.Duration{2 * time.Second, 8 * time.Second, 30 * time.Second}

// suspendNode pauses a process. Its settings then make its clock report that the machine
// was suspended for longer, which the monotonic clock does not count.
func (s *soak) suspendNode(rng *rand.Rand, d time.Duration) {
	s.pauseProcess(rng, d, func(n *node) error {
		n.suspended += suspensions[rng.IntN(len(suspensions))]
		err := n.writeSettings()
		n.signal(syscall.SIGHUP, false)
		return err
	})
}

func (s *soak) stopNode(rng *rand.Rand, _ time.Duration) {
	if n := s.lockNode(rng); n != nil {
		defer n.processMu.Unlock()
		s.recordStartError(n.stop())
	}
}

func (s *soak) reloadNode(rng *rand.Rand, _ time.Duration) {
	if n := s.lockNode(rng); n != nil {
		defer n.processMu.Unlock()
		n.signal(syscall.SIGHUP, false)
	}
}

func storeMode(m onplatform.Mode) func(*soak, *rand.Rand, time.Duration) {
	return func(s *soak, _ *rand.Rand, d time.Duration) {
		s.store.SetMode(m)
		time.Sleep(d)
		s.store.SetMode(onplatform.ModeUp)
	}
}

// returnStore has the store come back from a copy as old as d. The lost rows are written again one by one, in any
// order.
func (s *soak) returnStore(rng *rand.Rand, d time.Duration) {
	if !s.returnMu.TryLock() {
		return
	}
	defer s.returnMu.Unlock()
	copied := s.store.Copy()
	time.Sleep(d)
	away := time.Duration(rng.Int64N(int64(maxRestartPause)))
	storeMode(onplatform.ModeSilent)(s, rng, away)
	lost := s.store.ReturnFrom(copied)
	rng.Shuffle(len(lost), func(i, j int) { lost[i], lost[j] = lost[j], lost[i] })
	pause := time.Duration(rng.Int64N(int64(maxRewriteTime))) / time.Duration(len(lost)+1)
	for _, r := range lost {
		time.Sleep(pause)
		s.store.WriteAgain(r)
	}
}

func (s *soak) cutStore(rng *rand.Rand, d time.Duration) { s.anyNode(rng).storeProxy.CutOneWay(rng, d) }

// silenceConnections drops the traffic of some of the open connections, in one or both
// directions; new connections work.
func silenceConnections(rng *rand.Rand, p *netproxy.Proxy) {
	directions := [...]struct{ to, from bool }{{true, false}, {false, true}, {true, true}}
	direction := directions[rng.IntN(len(directions))]
	p.Silence(direction.to, direction.from, func() bool { return rng.IntN(2) == 0 })
}

func (s *soak) slowReplica(rng *rand.Rand, d time.Duration) {
	r := s.anyReplica(rng)
	link := netproxy.Link{Delay: time.Duration(rng.Int64N(int64(maxProxyDelay)))}
	r.proxy.Set(link, link)
	time.Sleep(d)
	r.proxy.Heal()
}

func (s *soak) cutReplica(rng *rand.Rand, d time.Duration) { s.anyReplica(rng).proxy.CutOneWay(rng, d) }

func (s *soak) faultyReplica(rng *rand.Rand, d time.Duration) {
	r := s.anyReplica(rng)
	r.behaviour.Store(1 + rng.Int32N(behaviourCount-1))
	time.Sleep(d)
	r.behaviour.Store(behaviourServe)
}

// replaceRandomReplica replaces a random replica by a new one and returns the old one.
func (s *soak) replaceRandomReplica(rng *rand.Rand) (old *replica) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.replaceReplica(rng.IntN(len(s.replicas)))
}

// replaceReplica replaces the replica at index i by a new one and returns the old one;
// the caller holds mu.
func (s *soak) replaceReplica(i int) (old *replica) {
	r, err := s.newReplica()
	if err != nil {
		s.checker.addViolation("no new replica: %v", err)
		return nil
	}
	old, s.replicas[i] = s.replicas[i], r
	s.writeReplicaRow(r, "ready")
	return old
}

func (s *soak) drainReplica(rng *rand.Rand, _ time.Duration) {
	if old := s.replaceRandomReplica(rng); old != nil {
		s.writeReplicaRow(old, "draining")
		time.Sleep(drainTime)
		s.store.Delete(onplatform.TableUpstreams, old.ID)
		s.retire(old)
	}
}

// crashReplica crashes a replica, whose row is removed only later.
func (s *soak) crashReplica(rng *rand.Rand, d time.Duration) {
	if old := s.replaceRandomReplica(rng); old != nil {
		old.proxy.Close()
		time.Sleep(d)
		s.store.Delete(onplatform.TableUpstreams, old.ID)
		s.retire(old)
	}
}

// retire keeps a replica that has left open until the end of the soak, so that the
// requests that it still runs can end.
func (s *soak) retire(r *replica) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.retired = append(s.retired, r)
}
