package timer

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

func TestSubscriptionTicksUntilClosed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := NewService(2)
		defer s.Close()
		var ticks atomic.Int64
		sub := s.Subscribe(time.Second, func(context.Context) { ticks.Add(1) })
		time.Sleep(10500 * time.Millisecond)
		got := ticks.Load()
		assert.Assert(t, got >= 9 && got <= 11, "ticks: %d", got)
		sub.Close()
		time.Sleep(10 * time.Second)
		assert.Equal(t, ticks.Load(), got)
	})
}

func TestSlowCallbackNeverOverlaps(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := NewService(4)
		var running, maxRunning atomic.Int64
		s.Subscribe(10*time.Millisecond, func(context.Context) {
			maxRunning.Store(max(maxRunning.Load(), running.Add(1)))
			time.Sleep(time.Second)
			running.Add(-1)
		})
		time.Sleep(10 * time.Second)
		s.Close()
		assert.Equal(t, maxRunning.Load(), int64(1))
		assert.Equal(t, running.Load(), int64(0), "Close must wait for the callback")
	})
}
