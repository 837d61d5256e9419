package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/drumpath/drumpath/internal/standin/onplatform"
)

const (
	// rejoinKills is how often all nodes are killed at once.
	rejoinKills = 8
	// rejoinSpread is how long before and after a kill replicas of one version are replaced by those of another.
	rejoinSpread = 600 * time.Millisecond
	// rejoinPause is left between two kills, so that the nodes serve and list the new version.
	rejoinPause = 1200 * time.Millisecond
)

// Streams that clients take up after all nodes were killed at once, while replicas of one version of the software take
// the place of those of another, must not have events of both.
func TestStreamsAreNotJoinedFromTwoVersionsAfterAllNodesWereKilled(t *testing.T) {
	s, err := start(Config{Program: build(t), Seed: 5, Nodes: 3, Replicas: 4, Engines: 1, Dir: t.TempDir()})
	assert.NilError(t, err)
	defer s.stopAll()
	ctx, cancel := context.WithCancel(t.Context())
	var clients sync.WaitGroup
	lastID := &atomic.Int64{}
	for i := range 60 {
		c := &client{soak: s, rng: rand.New(rand.NewPCG(s.cfg.Seed, uint64(i))), lastID: lastID}
		clients.Go(func() {
			defer c.closeConn()
			for ctx.Err() == nil {
				if c.connect() {
					c.readStream()
				}
				time.Sleep(time.Duration(c.rng.ExpFloat64() * float64(clientPause)))
			}
		})
	}
	rng := rand.New(rand.NewPCG(s.cfg.Seed, 1<<32))
	for kill := range rejoinKills {
		var changes sync.WaitGroup
		changes.Go(func() { s.replaceSoftware(rng, fmt.Sprintf("w%d", kill)) })
		if kill%2 == 1 { // One node reads and writes the lists of versions late.
			cutRNG := rand.New(rand.NewPCG(s.cfg.Seed, uint64(kill)))
			changes.Go(func() { s.cutStore(cutRNG, 2*rejoinSpread) })
		}
		time.Sleep(rejoinSpread)
		for _, n := range s.nodes {
			n.recordFault(rejoinSpread)
		}
		for _, n := range s.nodes {
			n.signal(syscall.SIGKILL, true)
		}
		for _, n := range s.nodes {
			<-n.exited
			n.recordFault(0)
			s.recordStartError(n.start())
		}
		changes.Wait()
		time.Sleep(rejoinPause)
	}
	cancel()
	clients.Wait()
	r := s.report()
	t.Logf("%d streams begun, %d taken up, %d went on, %d joined", r.Begun, r.TakenUp, r.WentOn, len(s.checker.mixed))
	for _, b := range append(r.Broken, s.checker.mixed...) {
		t.Error(b)
	}
	assert.Assert(t, r.TakenUp > 100, "%d streams were taken up", r.TakenUp)
}

// replaceSoftware replaces all replicas by those of another version, each at some moment of twice rejoinSpread. Some of the
// old ones say that they drain, and the others are no longer listed at once.
func (s *soak) replaceSoftware(rng *rand.Rand, version string) {
	s.mu.Lock()
	s.software = version
	s.mu.Unlock()
	for i := range s.cfg.Replicas {
		time.Sleep(time.Duration(rng.Int64N(int64(2*rejoinSpread) / int64(s.cfg.Replicas))))
		s.mu.Lock()
		old := s.replaceReplica(i)
		s.mu.Unlock()
		if old == nil {
			return
		}
		if rng.IntN(2) == 0 {
			s.writeReplicaRow(old, "draining")
		} else {
			s.store.Delete(onplatform.TableUpstreams, old.ID)
		}
		s.retire(old)
	}
}
