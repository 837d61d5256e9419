package suspects

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/drumpath/drumpath/pkg/control"
)

const (
	// LearnInterval is how often a node that has just started asks another one what is blocked:
	// an answer takes some milliseconds, and it needs no more than a few.
	LearnInterval = 100 * time.Millisecond
	// maxLearnWait bounds for how long the first requests of a node wait until it knows what is
	// blocked. It answers a start of all nodes while the store turns this one away: the others
	// then know nothing either until they have read the store, which takes them some 0.2 s.
	maxLearnWait = time.Second
)

// learning is how far a node has come that has just started.
type learning struct {
	// done is closed once requests need not wait any more.
	done chan struct{}
	// waiting holds once the first request waits.
	waiting bool
	// learned says that the node has heard what is blocked.
	learned bool
}

// MarkLearned notes that the node has heard what is blocked.
func (s *Suspects) MarkLearned() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.learning.learned = true
	s.releaseWaiters()
}

// releaseWaiters lets waiting requests go on; the caller holds mu.
func (s *Suspects) releaseWaiters() {
	select {
	case <-s.learning.done:
	default:
		close(s.learning.done)
	}
}

// hasLearned says whether the node has heard what is blocked.
func (s *Suspects) hasLearned() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.learning.learned
}

// WaitLearned waits until the node knows what is blocked, for learnMost after the first call at
// most. Without it a node that had just started ended one more replica under a request that
// all others refused, before it had read the store.
func (s *Suspects) WaitLearned(ctx context.Context) {
	select {
	case <-s.learning.done:
		return
	default:
	}
	s.startWaitTimer()
	select {
	case <-s.learning.done:
	case <-ctx.Done():
	}
}

// startWaitTimer bounds the wait from the first request on.
func (s *Suspects) startWaitTimer() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.learning.waiting {
		return
	}
	s.learning.waiting = true
	time.AfterFunc(maxLearnWait, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if !s.learning.learned {
			s.log.Warn("serving without the list of blocked requests", "node", s.self.Name, "after", maxLearnWait)
		}
		s.releaseWaiters()
	})
}

// Learn asks another node what is blocked, as long as this one does not know; the timer
// service calls it.
func (s *Suspects) Learn(context.Context) {
	if !s.hasLearned() {
		s.sendDigest(s.members.View().Working)
	}
}

// compareWith tells one node of a list, drawn at random, what this one holds.
func (s *Suspects) sendDigest(candidates []control.Member) {
	var others []netip.AddrPort
	for _, m := range candidates {
		if m.Name != s.self.Name {
			others = append(others, m.Peer)
		}
	}
	if len(others) == 0 {
		return
	}
	to := []netip.AddrPort{others[rand.IntN(len(others))]}
	s.notifier.SendNote(to, NoteDigest, digestNote{From: s.self.Peer, Digest: s.register.Digest(), Learning: !s.hasLearned()})
}
