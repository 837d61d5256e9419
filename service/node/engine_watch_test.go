package node

import (
	"log/slog"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/drumpath/drumpath/pkg/control"
	"github.com/drumpath/drumpath/pkg/prompt"
	"github.com/drumpath/drumpath/pkg/upstream"
	"github.com/drumpath/drumpath/service/peer"
)

func newTestDirectory(t *testing.T) *Directory {
	t.Helper()
	m := control.NewMembers(control.Member{Name: "vm-1"}, time.Second, nil, rand.New(rand.NewPCG(1, 1)))
	d := NewDirectory("vm-1", prompt.NewDirectory(1000, time.Now()), m, peer.NewClient("k"), slog.New(slog.DiscardHandler))
	t.Cleanup(d.Close)
	return d
}

// chainEvents returns the events that add a prompt's blocks and, if removed is set,
// remove them again, last block first.
func chainEvents(root prompt.Key, text string, removed bool) []upstream.CacheEvent {
	var list []upstream.CacheEvent
	parent := root
	for i, key := range prompt.Keys(root, text) {
		list = append(list, upstream.CacheEvent{Key: key, Parent: parent, Position: i + 1})
		parent = key
	}
	for i := len(list) - 1; removed && i >= 0; i-- {
		gone := list[i]
		gone.Removed = true
		list = append(list, gone)
	}
	for i := range list {
		list[i].Seq = uint64(i + 1)
	}
	return list
}

func TestBlocksAddedAndRemovedInOneBatchAreNotHot(t *testing.T) {
	d := newTestDirectory(t)
	w := newEngineWatch("e", nil, d, slog.New(slog.DiscardHandler))
	w.blocks = map[prompt.Key]indexedBlock{}
	w.notifiedOwners = map[prompt.Key]string{}
	text := strings.Repeat("specification ", 500)
	chain := prompt.NewChain(prompt.Scope{}, text)
	// The node that placed the run has already updated the shard.
	d.Placed(chain, "e")
	assert.Equal(t, len(d.Lookup(t.Context(), chain.Marks).Locations), 1)
	w.apply(chainEvents(chain.Root, text, true))
	assert.Equal(t, len(d.Lookup(t.Context(), chain.Marks).Locations), 0)
	w.apply(chainEvents(chain.Root, text, false))
	assert.Equal(t, len(d.Lookup(t.Context(), chain.Marks).Locations), 1)
}
