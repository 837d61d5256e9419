package soak

import (
	"math/rand/v2"
	"syscall"
	"time"

	"github.com/drumpath/drumpath/internal/netproxy"
	"github.com/drumpath/drumpath/internal/standin/onplatform"
)

// fault is one thing that is done from outside; it returns when it is over.
type fault struct {
	name string
	do   func(s *soak, rng *rand.Rand, d time.Duration)
}

const (
	// faultEvery is the mean pause between two faults, faultLeast and faultMost
	// bound how long one lasts.
	faultEvery = 500 * time.Millisecond
	faultLeast = 200 * time.Millisecond
	faultMost  = 2500 * time.Millisecond
	// restartMost bounds for how long a killed process stays away.
	restartMost = time.Second
	// drainTime is how long a replica that leaves serves on.
	drainTime = 1500 * time.Millisecond
	// delayMost bounds the delay of a proxy.
	delayMost = 80 * time.Millisecond
)

var faults = []fault{
	{"kill", (*soak).killNode},
	{"pause", (*soak).pauseNode},
	{"suspend", (*soak).suspendNode},
	{"stop", (*soak).stopNode},
	{"reread", (*soak).hupNode},
	{"store refuses", storeMode(onplatform.ModeRefusing)},
	{"store silent", storeMode(onplatform.ModeSilent)},
	{"store behind", storeMode(onplatform.ModeStale)},
	{"store forgets", func(s *soak, _ *rand.Rand, _ time.Duration) { s.store.TruncateHistory() }},
	{"store cut", (*soak).cutStore},
	{"store resets", func(s *soak, rng *rand.Rand, _ time.Duration) { s.anyNode(rng).store.Reset() }},
	{"store connections silent", func(s *soak, rng *rand.Rand, _ time.Duration) { silence(rng, s.anyNode(rng).store) }},
	{"replica connections silent", func(s *soak, rng *rand.Rand, _ time.Duration) { silence(rng, s.anyReplica(rng).proxy) }},
	{"replica slow", (*soak).slowReplica},
	{"replica cut one way", (*soak).cutReplica},
	{"replica resets", func(s *soak, rng *rand.Rand, _ time.Duration) { s.anyReplica(rng).proxy.Reset() }},
	{"replica faulty", (*soak).faultyReplica},
	{"replica leaves", (*soak).drainReplica},
	{"replica says that it drains", (*soak).drainQuietly},
	{"replica asks for backoff", (*soak).busyReplica},
	{"replica crashes", (*soak).crashReplica},
	{"deadly request", (*soak).repeatDeadly},
	{"configuration", func(s *soak, _ *rand.Rand, _ time.Duration) { s.configure() }},
}

func (s *soak) anyNode(rng *rand.Rand) *node { return s.nodes[rng.IntN(len(s.nodes))] }

func (s *soak) anyReplica(rng *rand.Rand) *replica {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.replicas[rng.IntN(len(s.replicas))]
}

// takeNode picks a node whose process nothing is being done to, nil if the one
// that was drawn is busy.
func (s *soak) takeNode(rng *rand.Rand) *node {
	if n := s.anyNode(rng); n.busy.TryLock() {
		return n
	}
	return nil
}

func (s *soak) killNode(rng *rand.Rand, _ time.Duration) {
	pause := time.Duration(rng.Int64N(int64(restartMost)))
	if n := s.takeNode(rng); n != nil {
		defer n.busy.Unlock()
		s.note(n.kill(pause))
	}
}

func (s *soak) pauseNode(rng *rand.Rand, d time.Duration) {
	s.freezeNode(rng, d, func(*node) {})
}

// freezeNode stops a process for a while; before it goes on something may be done to it.
func (s *soak) freezeNode(rng *rand.Rand, d time.Duration, last func(n *node)) {
	if n := s.takeNode(rng); n != nil {
		defer n.busy.Unlock()
		n.harm(d)
		n.signal(syscall.SIGSTOP, false)
		time.Sleep(d)
		last(n)
		n.signal(syscall.SIGCONT, false)
		n.harm(0)
	}
}

// suspensions are how long machines are suspended.
var suspensions = []time.Duration{2 * time.Second, 8 * time.Second, 30 * time.Second}

// suspendNode stops a process, and has its clock tell afterwards that its machine was
// suspended for longer than the steady clock counts.
func (s *soak) suspendNode(rng *rand.Rand, d time.Duration) {
	s.freezeNode(rng, d, func(n *node) {
		n.suspended += suspensions[rng.IntN(len(suspensions))]
		s.note(n.writeSettings())
		n.signal(syscall.SIGHUP, false)
	})
}

func (s *soak) stopNode(rng *rand.Rand, _ time.Duration) {
	if n := s.takeNode(rng); n != nil {
		defer n.busy.Unlock()
		s.note(n.stop())
	}
}

func (s *soak) hupNode(rng *rand.Rand, _ time.Duration) {
	if n := s.takeNode(rng); n != nil {
		defer n.busy.Unlock()
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

func (s *soak) cutStore(rng *rand.Rand, d time.Duration) { s.anyNode(rng).store.CutOneWay(rng, d) }

// silence takes away what passes on some of the open connections, one way or both; new
// ones pass.
func silence(rng *rand.Rand, p *netproxy.Proxy) {
	ways := [...]struct{ to, from bool }{{true, false}, {false, true}, {true, true}}
	way := ways[rng.IntN(len(ways))]
	p.Silence(way.to, way.from, func() bool { return rng.IntN(2) == 0 })
}

func (s *soak) slowReplica(rng *rand.Rand, d time.Duration) {
	r := s.anyReplica(rng)
	l := netproxy.Link{Delay: time.Duration(rng.Int64N(int64(delayMost)))}
	r.proxy.Set(l, l)
	time.Sleep(d)
	r.proxy.Heal()
}

func (s *soak) cutReplica(rng *rand.Rand, d time.Duration) { s.anyReplica(rng).proxy.CutOneWay(rng, d) }

func (s *soak) faultyReplica(rng *rand.Rand, d time.Duration) {
	r := s.anyReplica(rng)
	r.way.Store(1 + rng.Int32N(replicaWays-1))
	time.Sleep(d)
	r.way.Store(replicaServes)
}

// swapReplica puts a new replica in another's place and returns the old one.
func (s *soak) swapReplica(rng *rand.Rand) (old *replica) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.replace(rng.IntN(len(s.replicas)))
}

// replace puts a new replica in the place of one and returns that; the caller holds mu.
func (s *soak) replace(i int) (old *replica) {
	r, err := s.newReplica()
	if err != nil {
		s.ledger.fail("no new replica: %v", err)
		return nil
	}
	old, s.replicas[i] = s.replicas[i], r
	s.list(r, "ready")
	return old
}

func (s *soak) drainReplica(rng *rand.Rand, _ time.Duration) {
	if old := s.swapReplica(rng); old != nil {
		s.list(old, "draining")
		time.Sleep(drainTime)
		s.store.Delete(onplatform.TableUpstreams, old.ID)
		s.retire(old)
	}
}

// crashReplica ends a replica, whose entry goes later.
func (s *soak) crashReplica(rng *rand.Rand, d time.Duration) {
	if old := s.swapReplica(rng); old != nil {
		old.proxy.Close()
		time.Sleep(d)
		s.store.Delete(onplatform.TableUpstreams, old.ID)
		s.retire(old)
	}
}

// retire keeps a replica that has left until the soak's end: runs that it has
// begun end as they do.
func (s *soak) retire(r *replica) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.gone = append(s.gone, r)
}
