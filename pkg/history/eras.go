package history

import (
	"time"

	"github.com/drumpath/drumpath/pkg/locks"
)

// Eras tracks the newest era that a node has heard of, from the store or from another node.
type Eras struct {
	mu          locks.Mutex
	current     Era
	since       time.Time // When current was first heard of.
	first       bool      // No other era was known before.
	subscribers []func(Change)
}

// Change is the beginning of an era, as a node hears of it.
type Change struct {
	From, To Era
	// First is set if no era was known before.
	First bool
}

// Observe takes in an era that the store or another node has named, and reports whether it is the
// newest one: what comes from an earlier era is outdated. now must include all suspensions of the machine.
func (e *Eras) Observe(era Era, now time.Time) (current bool) {
	e.mu.Lock()
	known := !e.since.IsZero()
	if known && era <= e.current {
		defer e.mu.Unlock()
		return era == e.current
	}
	change := Change{From: e.current, To: era, First: !known}
	e.current, e.since, e.first = era, now, !known
	subscribers := e.subscribers
	e.mu.Unlock()
	for _, fn := range subscribers {
		fn(change)
	}
	return true
}

// ObserveBegun takes in that another node knows an era to have followed an earlier one, and since when. This node may
// have started later, with the era as the first one that it heard of.
func (e *Eras) ObserveBegun(era Era, since, now time.Time) {
	if !e.Observe(era, now) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if era == e.current && e.first {
		e.first, e.since = false, since
	}
}

// Subscribe has fn called at the beginning of each era, by the goroutine that hears of it. It must be
// called before the first Observe.
func (e *Eras) Subscribe(fn func(Change)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.subscribers = append(e.subscribers, fn)
}

// IsSettled reports whether a row that a listing of the current era lacks is gone. Within term of the beginning
// of an era the row may only not have been written again yet.
func (e *Eras) IsSettled(now time.Time, term time.Duration) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.first || e.since.IsZero() || now.Sub(e.since) >= term
}

// KnowsOne reports whether no more than one era is known, so that nothing known can have been lost.
func (e *Eras) KnowsOne() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.first || e.since.IsZero()
}

// Begun returns for how long the newest era is known; ok is false if none was known before it.
func (e *Eras) Begun(now time.Time) (era Era, age time.Duration, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.current, now.Sub(e.since), !e.first && !e.since.IsZero()
}

// Current returns the newest era and since when it is known; ok is false before the first one.
func (e *Eras) Current() (era Era, since time.Time, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.current, e.since, !e.since.IsZero()
}
