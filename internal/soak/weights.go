package soak

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/drumpath/drumpath/internal/standin/onplatform"
)

const (
	firstWeights = 1
	// weightsTerm is the orders.within of the nodes' settings: how long prompts may begin on older weights after
	// newer ones were named. The platform's rules allow no more.
	weightsTerm = 10 * time.Second
	// contactTime is how long nodes, store and links must have been undisturbed for the term to hold.
	contactTime = 3 * time.Second
	// maxLateExamples bounds the prompts that a violation describes.
	maxLateExamples = 5
)

// naming is when the store acknowledged a version of the weights.
type naming struct {
	version int64
	at      time.Time
}

// weightsCheck checks that no prompt begins on weights that were replaced longer than their term ago.
type weightsCheck struct {
	mu          sync.Mutex
	namings     []naming // Oldest first.
	disruptions int      // Of the store and of links, those under way.
	calmSince   time.Time
	prompts     int      // Begun.
	replaced    int      // Of those, begun on weights that had been replaced.
	excused     int      // Begun too late, sent by nodes that had been disturbed.
	late        int      // Begun too late, sent by other nodes.
	examples    []string // Of those.
}

// startDisruption records that the store or a link is disturbed until end is called.
func (c *weightsCheck) startDisruption() (end func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.disruptions++
	return func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.disruptions--
		c.calmSince = time.Now().Add(contactTime)
	}
}

func (c *weightsCheck) recordNaming(version int64, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.namings = append(c.namings, naming{version, at})
}

// replacedAt returns when the first version after the given one was named, zero for none. The caller holds mu.
func (c *weightsCheck) replacedAt(version int64) time.Time {
	for _, n := range c.namings {
		if n.version > version {
			return n.at
		}
	}
	return time.Time{}
}

// recordPrompt records that a prompt has begun.
func (c *weightsCheck) recordPrompt(engine string, n *node, weights int64, arrived, begun time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.prompts++
	replaced := c.replacedAt(weights)
	if replaced.IsZero() {
		return
	}
	c.replaced++
	since := replaced
	if c.calmSince.After(since) {
		since = c.calmSince
	}
	if c.disruptions > 0 || begun.Sub(since) <= weightsTerm {
		return
	}
	if !n.inTouch(arrived) {
		c.excused++
		return
	}
	if c.late++; len(c.examples) < maxLateExamples {
		c.examples = append(c.examples, fmt.Sprintf("at %s on version %d, sent by %s, %s after it was replaced, at %s",
			engine, weights, n.name, begun.Sub(replaced).Round(time.Millisecond), begun.Format("15:04:05.000")))
	}
}

// violation describes the prompts that began too late, "" if there are none.
func (c *weightsCheck) violation() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.late == 0 {
		return ""
	}
	return fmt.Sprintf("%d prompts began on weights that had been replaced more than %s before: %s", c.late, weightsTerm, strings.Join(c.examples, "; "))
}

// summarize adds the counts of prompts to a report.
func (c *weightsCheck) summarize(r *Report) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r.Prompts, r.PromptsReplaced, r.PromptsExcused, r.PromptsLate = c.prompts, c.replaced, c.excused, c.late
	r.Namings = len(c.namings)
}

// nameWeights names the next version of the weights.
func (s *soak) nameWeights() {
	s.namingMu.Lock()
	defer s.namingMu.Unlock()
	s.weightsNamed++
	s.store.Put(onplatform.TableOperator, "version/"+model, map[string]any{"model": model, "config_version": s.weightsNamed})
	s.weights.recordNaming(s.weightsNamed, time.Now())
}

// newestWeights returns the version that was named last.
func (s *soak) newestWeights() int64 {
	s.namingMu.Lock()
	defer s.namingMu.Unlock()
	return s.weightsNamed
}

// nodeFault is a fault of the processes of several nodes at the same moment.
type nodeFault struct {
	at    time.Duration // After the round has begun.
	share float64       // Of the nodes; one node at least.
	// inject disturbs one node; it returns when the fault is over.
	inject func(n *node) error
}

// weightsRound is a time in which weights are named while processes are disturbed.
type weightsRound struct {
	namings []time.Duration // After the round has begun.
	faults  []nodeFault
	modes   []orderMode // Of the engines by turns.
	length  time.Duration
}

const (
	// leadTime is the time from the beginning of a round to the first naming.
	leadTime   = time.Second
	maxNamings = 3 // In a round.
	// minNodeFaults and maxNodeFaults bound how many there are in a round.
	minNodeFaults = 2
	maxNodeFaults = 6
	// maxPauseTime bounds how long processes are paused in a round.
	maxPauseTime = 6 * time.Second
	// watchTime is how long a round goes on after the term of the weights that its first naming replaced.
	watchTime = 7 * time.Second
)

// drawRound draws a round. All that happens in it ends early enough for nodes to be in touch again before it ends.
func drawRound(rng *rand.Rand) (r weightsRound) {
	r.length = leadTime + weightsTerm + watchTime
	for i := range 1 + rng.IntN(maxNamings) {
		at := leadTime
		if i > 0 {
			at += time.Duration(rng.Int64N(int64(weightsTerm * 4 / 5)))
		}
		r.namings = append(r.namings, at)
	}
	for range minNodeFaults + rng.IntN(maxNodeFaults-minNodeFaults+1) {
		r.faults = append(r.faults, drawNodeFault(rng))
	}
	late := []orderMode{ordersLate, ordersLost}[rng.IntN(2)]
	r.modes = [][]orderMode{{late}, {late, ordersFollowed}, {ordersLate, ordersLost}}[rng.IntN(3)]
	return r
}

func drawNodeFault(rng *rand.Rand) nodeFault {
	f := nodeFault{share: []float64{0, 0.3, 0.6, 1}[rng.IntN(4)], at: time.Duration(rng.Int64N(int64(weightsTerm * 4 / 5)))}
	pause := time.Duration(rng.Int64N(int64(maxRestartPause)))
	paused := minFaultTime + time.Duration(rng.Int64N(int64(maxPauseTime-minFaultTime)))
	switch rng.IntN(4) {
	case 0, 1:
		f.inject = func(n *node) error { return n.kill(pause) }
	case 2:
		f.inject = func(n *node) error { return n.pause(paused, func() error { return nil }) }
	default:
		f.inject = (*node).stop
	}
	return f
}

// runRounds runs rounds in which weights are named.
func (s *soak) runRounds() {
	rng := rand.New(rand.NewPCG(s.cfg.Seed, 1<<33))
	for range s.cfg.Rounds {
		s.runRound(rng, drawRound(rng))
	}
}

// runRound runs a round: at its beginning all engines have the newest weights.
func (s *soak) runRound(rng *rand.Rand, r weightsRound) {
	for i, e := range s.engines {
		e.reset(s.newestWeights(), r.modes[i%len(r.modes)])
	}
	var wg sync.WaitGroup
	for _, at := range r.namings {
		wg.Go(func() {
			time.Sleep(at)
			s.nameWeights()
		})
	}
	for _, f := range r.faults {
		order := rng.Perm(len(s.nodes))[:max(1, int(f.share*float64(len(s.nodes))))]
		s.faultCounts["weights: nodes disturbed"] += len(order)
		wg.Go(func() {
			time.Sleep(f.at)
			s.injectAt(order, f.inject)
		})
	}
	time.Sleep(r.length)
	wg.Wait()
}

// injectAt disturbs nodes at the same moment; those that another fault disturbs are left out.
func (s *soak) injectAt(nodes []int, inject func(n *node) error) {
	var wg sync.WaitGroup
	for _, i := range nodes {
		n := s.nodes[i]
		wg.Go(func() {
			if n.processMu.TryLock() {
				defer n.processMu.Unlock()
				s.recordStartError(inject(n))
			}
		})
	}
	wg.Wait()
}
