package stall

import (
	"bytes"
	"context"
	"log/slog"
	"runtime/pprof"
	"sync/atomic"
	"time"
)

const (
	// CheckInterval is how often the locks and steps are checked.
	CheckInterval = time.Second
	// lockChecks is the number of checks in a row for which a lock must not have been taken. They are
	// counted instead of the time, as a process that was stopped does not run them meanwhile.
	lockChecks = 3
	// MaxStep is how long a periodic step may take: longer than the calls that it makes may.
	MaxStep = 30 * time.Second
	// maxStackBytes bounds the stacks in a log line.
	maxStackBytes = 96 << 10
)

// Monitor checks locks and periodic steps.
type Monitor struct {
	log         *slog.Logger
	locks       []*lockCheck
	longestStep func(now time.Time) time.Duration
	current     atomic.Int64
	total       atomic.Int64

	stepReported bool
}

// lockCheck takes one lock, or several of a kind one after the other.
type lockCheck struct {
	name     string
	take     func()
	running  atomic.Bool
	waited   int // Checks for which take has been running.
	reported bool
}

// New returns a monitor of no locks. longestStep returns for how long the longest of the steps that
// are running has been.
func New(longestStep func(now time.Time) time.Duration, log *slog.Logger) *Monitor {
	return &Monitor{log: log, longestStep: longestStep}
}

// AddLock adds a lock; take must take it for a short time. It must be called before Run.
func (m *Monitor) AddLock(name string, take func()) {
	m.locks = append(m.locks, &lockCheck{name: name, take: take})
}

// Status is what the monitor has found.
type Status struct {
	Current int64 `json:"current"`
	Total   int64 `json:"total"`
}

// Status returns the number of stalls that last, and of all since the start. It takes no lock.
func (m *Monitor) Status() Status {
	return Status{Current: m.current.Load(), Total: m.total.Load()}
}

// Run checks until ctx ends. It does not wait for checks of locks that can't be taken.
func (m *Monitor) Run(ctx context.Context) {
	t := time.NewTicker(CheckInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			m.check(time.Now())
		}
	}
}

func (m *Monitor) check(now time.Time) {
	for _, l := range m.locks {
		if !l.running.Load() {
			l.waited = 0
			m.record(&l.reported, false, l.name, 0)
			l.running.Store(true)
			go func() {
				l.take()
				l.running.Store(false)
			}()
			continue
		}
		l.waited++
		m.record(&l.reported, l.waited >= lockChecks, l.name, time.Duration(l.waited)*CheckInterval)
	}
	step := m.longestStep(now)
	m.record(&m.stepReported, step >= MaxStep, "timer step", step)
}

// record records whether a lock or step is stalled, and logs when that changes.
func (m *Monitor) record(reported *bool, stalled bool, name string, waited time.Duration) {
	if *reported == stalled {
		return
	}
	*reported = stalled
	if !stalled {
		m.current.Add(-1)
		m.log.Warn("stall ended", "at", name)
		return
	}
	m.current.Add(1)
	m.total.Add(1)
	m.log.Error("stalled", "at", name, "waited", waited, "stacks", stacks())
}

// stacks returns the stacks of all goroutines, equal ones once with their number.
func stacks() string {
	var b bytes.Buffer
	if err := pprof.Lookup("goroutine").WriteTo(&b, 1); err != nil {
		return err.Error()
	}
	return string(b.Bytes()[:min(b.Len(), maxStackBytes)])
}
