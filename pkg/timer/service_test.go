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
		var n atomic.Int64
		sub := s.Subscribe(time.Second, func(context.Context) { n.Add(1) })
		time.Sleep(10500 * time.Millisecond)
		got := n.Load()
		assert.Assert(t, got >= 9 && got <= 11, "ticks: %d", got)
		sub.Close()
		time.Sleep(10 * time.Second)
		assert.Equal(t, n.Load(), got)
	})
}

func TestSlowCallbackNeverOverlaps(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := NewService(4)
		var running, worst atomic.Int64
		s.Subscribe(10*time.Millisecond, func(context.Context) {
			worst.Store(max(worst.Load(), running.Add(1)))
			time.Sleep(time.Second)
			running.Add(-1)
		})
		time.Sleep(10 * time.Second)
		s.Close()
		assert.Equal(t, worst.Load(), int64(1))
		assert.Equal(t, running.Load(), int64(0), "Close must wait for the callback")
	})
}
