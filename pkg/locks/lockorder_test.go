//go:build lockorder

package locks

import (
	"io"
	"testing"

	"github.com/sasha-s/go-deadlock"
	"gotest.tools/v3/assert"
)

// Two locks that are taken in both orders are found although no goroutine waits for another.
func TestOppositeOrderIsReported(t *testing.T) {
	found := 0
	exit, out := deadlock.Opts.OnPotentialDeadlock, deadlock.Opts.LogBuf
	deadlock.Opts.OnPotentialDeadlock, deadlock.Opts.LogBuf = func() { found++ }, io.Discard
	defer func() { deadlock.Opts.OnPotentialDeadlock, deadlock.Opts.LogBuf = exit, out }()
	var a, b Mutex
	lockBoth := func(first, second *Mutex) {
		first.Lock()
		defer first.Unlock()
		second.Lock()
		defer second.Unlock()
	}
	lockBoth(&a, &b)
	lockBoth(&a, &b)
	assert.Equal(t, found, 0)
	lockBoth(&b, &a)
	assert.Equal(t, found, 1)
}
