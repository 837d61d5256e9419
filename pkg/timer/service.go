package timer

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/drumpath/drumpath/pkg/locks"
	"github.com/drumpath/drumpath/pkg/queue"
)

// jitterShare is the share of a period by which each tick is randomly shifted, so
// that nodes started together do not act at the same time.
const jitterShare = 0.1

// Func is a subscriber's callback; ctx ends when its subscription closes.
type Func func(ctx context.Context)

// Service runs subscribed callbacks on a fixed pool of workers.
//
// A subscription is rescheduled only after its callback has returned, so a slow
// callback never runs concurrently with itself and its runs never queue up.
// Service.mu is the only lock, and it is not held while callbacks run.
type Service struct {
	mu  locks.Mutex
	due queue.Heap[*Subscription]
	// startedAt has when each running callback was called.
	startedAt map[*Subscription]time.Time
	closed    bool
	wake      chan struct{}
	ready     chan *Subscription
	done      chan struct{}
	wg        sync.WaitGroup
}

// NewService starts a timer service with the given number of workers.
func NewService(workers int) *Service {
	s := &Service{
		startedAt: map[*Subscription]time.Time{},

		wake:  make(chan struct{}, 1),
		ready: make(chan *Subscription),
		done:  make(chan struct{}),
	}
	s.wg.Add(1 + workers)
	go s.dispatch()
	for range workers {
		go s.worker()
	}
	return s
}

// Subscribe runs fn every period, first after one jittered period, until the
// subscription or the service is closed.
func (s *Service) Subscribe(period time.Duration, fn Func) *Subscription {
	ctx, cancel := context.WithCancel(context.Background())
	sub := &Subscription{service: s, period: period, fn: fn, ctx: ctx, cancel: cancel}
	s.mu.Lock()
	s.schedule(sub, time.Now().Add(jitter(period)))
	s.mu.Unlock()
	return sub
}

// Close stops every subscription and waits for running callbacks to return.
func (s *Service) Close() {
	s.mu.Lock()
	if s.closed {
		s.mu.Unlock()
		s.wg.Wait()
		return
	}
	s.closed = true
	for _, sub := range s.due.Items() {
		sub.cancel()
	}
	s.mu.Unlock()
	close(s.done)
	s.wg.Wait()
}

// schedule makes sub due at the given time; the caller holds mu.
func (s *Service) schedule(sub *Subscription, at time.Time) {
	if s.closed || sub.closed {
		return
	}
	sub.dueAt = at
	s.due.Push(sub)
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

func (s *Service) dispatch() {
	defer s.wg.Done()
	t := time.NewTimer(time.Hour)
	defer t.Stop()
	for {
		sub, wait := s.nextDue(time.Now())
		if sub != nil {
			select {
			case s.ready <- sub:
			case <-s.done:
				sub.running.Done()
				return
			}
			continue
		}
		t.Reset(wait)
		select {
		case <-t.C:
		case <-s.wake:
		case <-s.done:
			return
		}
	}
}

// nextDue pops the first due subscription, or returns how long to wait for one.
func (s *Service) nextDue(now time.Time) (*Subscription, time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.due.Len() == 0 {
		return nil, time.Hour
	}
	if wait := s.due.First().dueAt.Sub(now); wait > 0 {
		return nil, wait
	}
	sub := s.due.Pop()
	sub.running.Add(1)
	return sub, 0
}

// LongestRun returns for how long the callback that was called first of those that run has been
// running, 0 if none is.
func (s *Service) LongestRun(now time.Time) (d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, startedAt := range s.startedAt {
		d = max(d, now.Sub(startedAt))
	}
	return d
}

func (s *Service) worker() {
	defer s.wg.Done()
	for {
		select {
		case sub := <-s.ready:
			s.run(sub)
		case <-s.done:
			return
		}
	}
}

func (s *Service) run(sub *Subscription) {
	defer sub.running.Done()
	s.mu.Lock()
	s.startedAt[sub] = time.Now()
	s.mu.Unlock()
	if sub.ctx.Err() == nil {
		sub.fn(sub.ctx)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.startedAt, sub)
	s.schedule(sub, time.Now().Add(jitter(sub.period)))
}

func jitter(d time.Duration) time.Duration {
	return d + time.Duration((rand.Float64()*2-1)*jitterShare*float64(d))
}
