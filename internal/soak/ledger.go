package soak

import (
	"fmt"
	"sync"
	"time"
)

// outcome is how a request ended for its client.
type outcome struct {
	kind   string
	id     string
	node   *node
	sent   time.Time
	ended  time.Time
	status int  // 0 without an answer.
	whole  bool // The answer came whole and as the replica made it.
	wrong  string
}

// ledger is what clients and replicas saw, and what of it must not be.
type ledger struct {
	mu       sync.Mutex
	runs     map[string]int // Of replicas, by request.
	outcomes []outcome
	broken   []string
}

// mostBroken bounds what is told of one soak.
const mostBroken = 50

func newLedger() *ledger { return &ledger{runs: map[string]int{}} }

// fail notes a broken promise.
func (l *ledger) fail(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.broken) < mostBroken {
		l.broken = append(l.broken, fmt.Sprintf(format, args...))
	}
}

// run notes that a replica has begun a request.
func (l *ledger) run(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[id]++
}

func (l *ledger) end(o outcome) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.outcomes = append(l.outcomes, o)
}

// count sums up how requests ended.
func (l *ledger) count() (r Report) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, o := range l.outcomes {
		r.Sent++
		switch {
		case o.whole:
			r.Served++
		case promises(o.status):
			r.Refused++
		default:
			r.Failed++
		}
	}
	return r
}

// promises says whether a status says that the request has not run and won't.
func promises(status int) bool {
	return status == 503 || status == 429 || status == 408 || status == 421
}

// judge checks every request once all runs have ended.
func (l *ledger) judge() {
	l.mu.Lock()
	outcomes := l.outcomes
	l.mu.Unlock()
	for _, o := range outcomes {
		l.judgeOne(o)
	}
}

func (l *ledger) judgeOne(o outcome) {
	l.mu.Lock()
	runs := l.runs[o.id]
	l.mu.Unlock()
	took := o.ended.Sub(o.sent)
	blamed := !o.node.harmedAt(o.ended)
	switch {
	case o.wrong != "":
		l.fail("%s %s at %s: %s", o.kind, o.id, o.node.name, o.wrong)
	case o.kind == kindOnce && runs > 1:
		l.fail("%s %s at %s ran %d times", o.kind, o.id, o.node.name, runs)
	case o.kind != kindSafe && promises(o.status) && runs > 0:
		l.fail("%s %s at %s was answered %d, but ran", o.kind, o.id, o.node.name, o.status)
	case o.status >= 400 && o.status < 500 && !promises(o.status):
		l.fail("%s %s at %s was denied: %d", o.kind, o.id, o.node.name, o.status)
	case o.status == 0 && runs > 0 && blamed && took < patience:
		l.fail("%s %s at %s ran and was cut without an answer after %s (told to stop meanwhile: %v)",
			o.kind, o.id, o.node.name, took, o.node.stoppedSince(o.sent.Add(-grace)))
	case took > patience+answerSlack && blamed:
		l.fail("%s %s at %s was held for %s", o.kind, o.id, o.node.name, took)
	}
}
