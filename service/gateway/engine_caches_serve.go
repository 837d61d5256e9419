package gateway

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/drumpath/drumpath/pkg/boottime"
)

// cacheUpdatesRequest holds the parameters of methodCacheUpdates: it asks for the updates from a
// sequence number on, of the engines of some halls.
type cacheUpdatesRequest struct {
	Epoch uint64   `json:"epoch"`
	From  uint64   `json:"from"`
	Halls []string `json:"halls"`
	// MaxEngines limits the engines by rank in each hall, in the order of route.Pool.Tracked;
	// nil means all engines of Halls.
	MaxEngines map[string]int `json:"most,omitempty"`
	// NeedFull lists engines whose contents the requesting node does not have yet.
	NeedFull []string `json:"fresh,omitempty"`
	WaitMS   int64    `json:"wait_ms"`
}

// wants reports whether updates of an engine with this rank in its hall are asked for.
func (q *cacheUpdatesRequest) wants(hall string, rank int) bool {
	if q.MaxEngines == nil {
		return slices.Contains(q.Halls, hall)
	}
	return rank < q.MaxEngines[hall]
}

type cacheUpdatesAnswer struct {
	Epoch   uint64              `json:"epoch"`
	Next    uint64              `json:"next"`
	Updates []packedCacheUpdate `json:"news"`
}

// serve handles methodCacheUpdates.
func (f *engineCacheFollower) serve(ctx context.Context, params json.RawMessage) (any, error) {
	var q cacheUpdatesRequest
	if err := json.Unmarshal(params, &q); err != nil {
		return nil, eris.Wrap(err, "bad parameters")
	}
	f.mu.Lock()
	f.lastAsked = boottime.Now()
	f.mu.Unlock()
	end := time.After(min(cachePollWait, time.Duration(q.WaitMS)*time.Millisecond))
	for {
		updates, next, changed, ok := f.updates.since(q)
		if !ok {
			updates = f.fullUpdates(func(string, rankedEngine) bool { return true }, q)
		} else if len(q.NeedFull) > 0 {
			updates = append(f.fullUpdates(func(id string, _ rankedEngine) bool { return slices.Contains(q.NeedFull, id) }, q), updates...)
		}
		answer := cacheUpdatesAnswer{Epoch: f.updates.epoch, Next: next, Updates: updates}
		if len(updates) > 0 {
			return answer, nil
		}
		q.Epoch, q.From = answer.Epoch, answer.Next
		select {
		case <-changed:
		case <-end:
			return answer, nil
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// fullUpdates returns the full contents of the requested engines that match; engines with
// stale contents are left out.
func (f *engineCacheFollower) fullUpdates(match func(id string, e rankedEngine) bool, q cacheUpdatesRequest) (updates []packedCacheUpdate) {
	f.mu.Lock()
	var ids []string
	for id, e := range f.ranked {
		if q.wants(e.hall, e.rank) && match(id, e) {
			ids = append(ids, id)
		}
	}
	f.mu.Unlock()
	for _, id := range ids {
		if c := f.cacheIndex.EngineContents(id); !c.Stale {
			updates = append(updates, packCacheUpdate(c))
		}
	}
	return updates
}
