package gateway

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/drumpath/drumpath/pkg/boottime"
)

// cacheUpdatesRequest are methodHeld's parameters: news from a point on, about the engines of
// some halls.
type cacheUpdatesRequest struct {
	Epoch uint64   `json:"epoch"`
	From  uint64   `json:"from"`
	Halls []string `json:"halls"`
	// MaxEngines is of how many engines of each hall news are wanted, in the order of
	// route.SelectTracked; without it of all.
	MaxEngines map[string]int `json:"most,omitempty"`
	// NeedFull are engines of which the node that asks knows nothing yet.
	NeedFull []string `json:"fresh,omitempty"`
	WaitMS   int64    `json:"wait_ms"`
}

// wants says whether news of an engine, of a rank in its hall, are asked for.
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

// serve answers a node that asks for news.
func (h *engineCacheFollower) serve(ctx context.Context, params json.RawMessage) (any, error) {
	var q cacheUpdatesRequest
	if err := json.Unmarshal(params, &q); err != nil {
		return nil, eris.Wrap(err, "bad parameters")
	}
	h.mu.Lock()
	h.lastAsked = boottime.Now()
	h.mu.Unlock()
	end := time.After(min(cachePollWait, time.Duration(q.WaitMS)*time.Millisecond))
	for {
		updates, next, changed, ok := h.updates.since(q)
		if !ok {
			updates = h.fullUpdates(func(string, rankedEngine) bool { return true }, q)
		} else if len(q.NeedFull) > 0 {
			updates = append(h.fullUpdates(func(id string, _ rankedEngine) bool { return slices.Contains(q.NeedFull, id) }, q), updates...)
		}
		a := cacheUpdatesAnswer{Epoch: h.updates.epoch, Next: next, Updates: updates}
		if len(updates) > 0 {
			return a, nil
		}
		q.Epoch, q.From = a.Epoch, a.Next
		select {
		case <-changed:
		case <-end:
			return a, nil
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// all is everything known about those of the engines that are asked for which are meant;
// nothing of those that have not been heard.
func (h *engineCacheFollower) fullUpdates(match func(id string, e rankedEngine) bool, q cacheUpdatesRequest) (updates []packedCacheUpdate) {
	h.mu.Lock()
	var ids []string
	for id, e := range h.ranked {
		if q.wants(e.hall, e.rank) && match(id, e) {
			ids = append(ids, id)
		}
	}
	h.mu.Unlock()
	for _, id := range ids {
		if c := h.cache.EngineContents(id); !c.Stale {
			updates = append(updates, packCacheUpdate(c))
		}
	}
	return updates
}
