package node

import (
	"context"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/drumpath/drumpath/internal/standin"
)

// Guards against wrong answers, and reads of freed or half-written blocks, when
// prompts repeat while the store evicts, restarts and loses blocks of a put.
func TestNoBadReadsDuringStoreEvictionAndRestart(t *testing.T) {
	cfg := smallSite(2, 1)
	// Each engine has space for one prompt and the store for seven of the ten, so
	// that prompts are imported and the store evicts all the time.
	cfg.Engine.CacheTokens = 4500
	cfg.Store.Capacity = 7 * 4096 * int64(cfg.Store.TokenBytes)
	site := startSite(t, cfg)
	defer site.Close()
	n := startNode(t, site, "vm-1")
	defer n.Close()
	configureNode(t, n, site)
	store := site.Stores[0]
	stop := make(chan struct{})
	var faulty sync.WaitGroup
	faulty.Go(func() {
		for i := 0; ; i++ {
			select {
			case <-stop:
				store.SetFault(standin.Fault{})
				return
			case <-time.After(300 * time.Millisecond):
			}
			store.SetFault(standin.Fault{Restart: i%5 == 0, PartialPut: i%3 == 0})
		}
	})
	var wg sync.WaitGroup
	for w := range 4 {
		wg.Go(func() {
			for i := range 25 {
				text := strings.Repeat(string(rune('a'+(w*3+i*7)%10))+" specification ", 1000)
				assert.Check(t, post(t, n, text, 4) == 5)
			}
		})
	}
	wg.Wait()
	close(stop)
	faulty.Wait()
	s := store.Stats()
	assert.Equal(t, s.BadReads, 0)
	assert.Assert(t, n.Metrics.Imports.Value() > 0, "nothing was imported, so nothing was tested")
}

// An engine watch that misses events detects the gap and reads all blocks.
func TestWatchResynchronisesAfterAGap(t *testing.T) {
	site := startSite(t, smallSite(1, 0))
	defer site.Close()
	n := startNode(t, site, "vm-1")
	defer n.Close()
	configureNode(t, n, site)
	held := func() int {
		for _, w := range n.Watches.Status() {
			return w.Entries
		}
		return 0
	}
	post(t, n, strings.Repeat("first prompt ", 1000), 1)
	waitUntil(t, func() bool { return held() == 50 })
	site.Engines[0].SetFault(standin.Fault{SkipEvents: true})
	post(t, n, strings.Repeat("missed prompt", 1000), 1)
	site.Engines[0].SetFault(standin.Fault{})
	post(t, n, strings.Repeat("third prompt ", 1000), 1)
	waitUntil(t, func() bool { return held() == 150 })
	assert.Assert(t, n.Watches.Status()[0].Resyncs > 1)
}

// When a client disconnects, its run is cancelled at the engine.
func TestClientDisconnectCancelsUpstreamRun(t *testing.T) {
	cfg := smallSite(1, 0)
	cfg.Engine.PrefillRate = 100
	site := startSite(t, cfg)
	defer site.Close()
	n := startNode(t, site, "vm-1")
	defer n.Close()
	configureNode(t, n, site)
	ctx, cancel := context.WithCancel(t.Context())
	gone := make(chan struct{})
	go func() {
		defer close(gone)
		postWithContext(ctx, n, strings.Repeat("a long prompt ", 1000))
	}()
	waitUntil(t, func() bool { return n.Entry.InFlight() == 1 })
	waitUntil(t, func() bool { return n.Admission.Status().Admitted == 1 })
	cancel()
	<-gone
	// The prefill alone would take over 30 s, longer than waitUntil waits.
	waitUntil(t, func() bool { return n.Entry.InFlight() == 0 && n.Admission.Status().Admitted == 0 })
}
