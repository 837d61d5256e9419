package stall

import (
	"bytes"
	"log/slog"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// A lock that is held for ever is logged once, with the stack of its holder, and counted.
func TestHeldLockIsReportedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		var mu sync.Mutex
		held := make(chan struct{})
		go holdLock(&mu, held)
		synctest.Wait()
		m := New(func(time.Time) time.Duration { return 0 }, slog.New(slog.NewTextHandler(&out, nil)))
		m.AddLock("the lock", func() {
			<-held // Unlike a mutex, a channel of the bubble lets its time go on.
			mu.Lock()
			defer mu.Unlock()
		})
		for range 10 {
			m.check(time.Now())
			time.Sleep(CheckInterval)
		}
		assert.Equal(t, m.Status(), Status{Current: 1, Total: 1})
		assert.Equal(t, strings.Count(out.String(), "msg=stalled"), 1, out.String())
		assert.Assert(t, strings.Contains(out.String(), "stall.holdLock"), out.String())

		close(held)
		synctest.Wait()
		m.check(time.Now())
		assert.Equal(t, m.Status(), Status{Current: 0, Total: 1})
		assert.Assert(t, strings.Contains(out.String(), "stall ended"), out.String())
		synctest.Wait()
	})
}

func holdLock(mu *sync.Mutex, held <-chan struct{}) {
	mu.Lock()
	defer mu.Unlock()
	<-held
}

// A step that takes long is reported; one that takes a usual time is not.
func TestLongStepIsReported(t *testing.T) {
	step := MaxStep - 1
	m := New(func(time.Time) time.Duration { return step }, slog.New(slog.DiscardHandler))
	m.check(time.Now())
	assert.Equal(t, m.Status().Total, int64(0))
	step = MaxStep
	m.check(time.Now())
	assert.Equal(t, m.Status(), Status{Current: 1, Total: 1})
}
