package suspects

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/drumpath/drumpath/pkg/control"
)

const (
	// LearnInterval is how often a node that has just started asks another one for the
	// blocked requests. An answer takes some milliseconds, and a few tries are enough.
	LearnInterval = 100 * time.Millisecond
	// maxLearnWait bounds how long the first requests of a node wait until it knows the
	// blocked requests. It covers a start of all nodes while the platform's store refuses
	// this one: the others know nothing either until they have read the store, which takes about
	// 0.2 s.
	maxLearnWait = time.Second
)

// learning is the state of a node that may not know the blocked requests yet.
type learning struct {
	// done is closed once requests need not wait any more.
	done chan struct{}
	// waiting means that a request has waited and the time limit runs.
	waiting bool
	// learned means that the node knows the blocked requests.
	learned bool
}

// MarkLearned records that the node knows the blocked requests.
func (s *Suspects) MarkLearned() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.learning.learned = true
	s.releaseWaiters()
}

// releaseWaiters lets waiting requests go on. The caller holds mu.
func (s *Suspects) releaseWaiters() {
	select {
	case <-s.learning.done:
	default:
		close(s.learning.done)
	}
}

// hasLearned reports whether the node knows the blocked requests.
func (s *Suspects) hasLearned() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.learning.learned
}

// WaitLearned waits until the node knows the blocked requests, for at most maxLearnWait
// after its first call. Without it a node that had just started sent a request that all
// others refused, before it had read the store, and one more replica ended.
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

// startWaitTimer starts the time limit at the first request that waits.
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

// Learn asks another node for the blocked requests until this one knows them. The timer
// service calls it.
func (s *Suspects) Learn(context.Context) {
	if !s.hasLearned() {
		s.sendDigest(s.members.View().Working())
	}
}

// sendDigest sends the digest of this node to a random one of the candidates, which answers
// if its own differs.
func (s *Suspects) sendDigest(candidates []control.Member) {
	if len(candidates) == 0 {
		return
	}
	i := rand.IntN(len(candidates))
	if candidates[i].Name == s.self.Name {
		i = (i + 1) % len(candidates)
	}
	if candidates[i].Name == s.self.Name {
		return // It is the only one.
	}
	to := []netip.AddrPort{candidates[i].Peer}
	s.notifier.SendNote(to, NoteDigest, digestNote{From: s.self.Peer, Digest: s.register.Digest(), Learning: !s.hasLearned()})
}
