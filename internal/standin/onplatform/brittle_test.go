package onplatform_test

import (
	"fmt"
	"io"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/drumpath/drumpath/internal/standin/onplatform"
)

// brittleReplica runs as many requests at once as it has slots and lets none wait. It says in its
// answers that it is brittle, and falls over if it turns away more than maxRejections in a second.
type brittleReplica struct {
	mu       sync.Mutex
	brittle  bool
	running  int
	rejected []time.Time
	downTill time.Time
	falls    []time.Time
}

const (
	brittleSlots  = 8 // As in the rows of replicas.
	maxRejections = 3
	brittleWork   = 60 * time.Millisecond
	fallTime      = time.Second
)

func (b *brittleReplica) script(w io.Writer, r *onplatform.Request) bool {
	mark, accepted, up := b.enter(time.Now())
	if !up {
		return false
	}
	if !accepted {
		_, _ = fmt.Fprintf(w, "HTTP/1.1 503 X\r\nRequest-Id: %s\r\nNot-Executed: 1\r\n%sContent-Length: 0\r\n\r\n", r.ID(), mark) // The node may have left.
		return true
	}
	time.Sleep(brittleWork)
	b.mu.Lock()
	b.running--
	b.mu.Unlock()
	_, _ = fmt.Fprintf(w, "HTTP/1.1 200 X\r\nServer-Stamp: s\r\nRequest-Id: %s\r\n%sContent-Length: 4\r\n\r\ndone", r.ID(), mark) // The node may have left.
	return true
}

// enter lets a request in if there is room; up is false if the replica has fallen over.
func (b *brittleReplica) enter(now time.Time) (mark string, accepted, up bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if now.Before(b.downTill) {
		return "", false, false
	}
	if b.brittle {
		mark = fmt.Sprintf("Server-Brittle: %d\r\n", maxRejections)
	}
	if b.running < brittleSlots {
		b.running++
		return mark, true, true
	}
	b.rejected = append(b.rejected, now)
	for now.Sub(b.rejected[0]) > time.Second {
		b.rejected = b.rejected[1:]
	}
	if b.brittle && len(b.rejected) > maxRejections {
		b.downTill, b.falls, b.rejected = now.Add(fallTime), append(b.falls, now), nil
	}
	return mark, false, true
}

func (b *brittleReplica) setBrittle(brittle bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.brittle = brittle
}

func (b *brittleReplica) fallsAfter(t time.Time) (n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, at := range b.falls {
		if at.After(t) {
			n++
		}
	}
	return n
}

// Each node learnt by being turned away how much a replica lets in, and together they made brittle
// replicas fall over.
func TestBrittleReplicasAreNotMadeToFallOver(t *testing.T) {
	const nodes, replicas, clients = 6, 3, 12
	s := newSite(t)
	var state []*brittleReplica
	for i := range replicas {
		b := &brittleReplica{}
		s.startReplica(appService, fmt.Sprintf("brittle-%d", i)).Script(b.script)
		state = append(state, b)
	}
	var list []*node
	for i := range nodes {
		list = append(list, s.startReadyNode(fmt.Sprintf("n%d", i)))
	}
	for _, n := range list {
		s.waitUntil("the nodes know each other", func() bool { return nodeCount(n) == nodes && replicaCount(n, appService) == replicas })
	}
	for _, b := range state {
		b.setBrittle(true)
	}
	const duration = 4 * time.Second
	settled := time.Now().Add(contactTime)
	served := s.pressOn(list, clients, contactTime+duration)
	falls := 0
	for _, b := range state {
		falls += b.fallsAfter(settled)
	}
	t.Logf("%d falls, %d served", falls, served)
	assert.Assert(t, falls <= 2+replicas/10, "%d falls within %v", falls, duration)
	// A third of what the slots allow, so that replicas are still used.
	most := replicas * brittleSlots * int((contactTime+duration)/brittleWork)
	assert.Assert(t, served >= most/3, "%d served of %d that fit", served, most)
	for _, b := range state {
		b.setBrittle(false)
	}
	s.waitUntil("replicas that are no longer brittle are used as before", func() bool {
		return s.pressOn(list, 1, 200*time.Millisecond) > 0 && !anyBrittle(list)
	})
}

// pressOn has clients at each node send one request after the other for a time, and returns how many
// were served.
func (s *site) pressOn(list []*node, clients int, duration time.Duration) (served int) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	for _, n := range list {
		for range clients {
			wg.Go(func() {
				for start := time.Now(); time.Since(start) < duration; {
					one := n.firstTry("safe")
					if one.served == 0 {
						time.Sleep(20 * time.Millisecond)
					}
					mu.Lock()
					served += one.served
					mu.Unlock()
				}
			})
		}
	}
	wg.Wait()
	return served
}

// anyBrittle reports whether a node holds the replicas of the service for brittle.
func anyBrittle(list []*node) bool {
	for _, n := range list {
		var status struct {
			Replicas map[string]struct{ Brittle bool } `json:"replicas"`
		}
		n.readMetrics(&status)
		if status.Replicas[appService].Brittle {
			return true
		}
	}
	return false
}
