package gateway

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/drumpath/drumpath/pkg/boottime"
)

// heldRequest are methodHeld's parameters: news from a point on, about the engines of
// some halls.
type heldRequest struct {
	Epoch uint64   `json:"epoch"`
	From  uint64   `json:"from"`
	Halls []string `json:"halls"`
	// Most is of how many engines of each hall news are wanted, in the order of
	// route.SelectTracked; without it of all.
	Most map[string]int `json:"most,omitempty"`
	// Fresh are engines of which the node that asks knows nothing yet.
	Fresh  []string `json:"fresh,omitempty"`
	WaitMS int64    `json:"wait_ms"`
}

// wants says whether news of an engine, of a rank in its hall, are asked for.
func (q *heldRequest) wants(hall string, rank int) bool {
	if q.Most == nil {
		return slices.Contains(q.Halls, hall)
	}
	return rank < q.Most[hall]
}

type heldAnswer struct {
	Epoch uint64     `json:"epoch"`
	Next  uint64     `json:"next"`
	News  []heldNews `json:"news"`
}

// serve answers a node that asks for news.
func (h *holdings) serve(ctx context.Context, params json.RawMessage) (any, error) {
	var q heldRequest
	if err := json.Unmarshal(params, &q); err != nil {
		return nil, eris.Wrap(err, "bad parameters")
	}
	h.mu.Lock()
	h.told = boottime.Now()
	h.mu.Unlock()
	end := time.After(min(heldWait, time.Duration(q.WaitMS)*time.Millisecond))
	for {
		list, next, changed, ok := h.news.since(q)
		if !ok {
			list = h.all(func(string, rankedEngine) bool { return true }, q)
		} else if len(q.Fresh) > 0 {
			list = append(h.all(func(id string, _ rankedEngine) bool { return slices.Contains(q.Fresh, id) }, q), list...)
		}
		a := heldAnswer{Epoch: h.news.epoch, Next: next, News: list}
		if len(list) > 0 {
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
func (h *holdings) all(meant func(id string, e rankedEngine) bool, q heldRequest) (list []heldNews) {
	h.mu.Lock()
	var ids []string
	for id, e := range h.ranked {
		if q.wants(e.hall, e.rank) && meant(id, e) {
			ids = append(ids, id)
		}
	}
	h.mu.Unlock()
	for _, id := range ids {
		if c := h.kept.EngineContents(id); !c.Stale {
			list = append(list, packHeld(c))
		}
	}
	return list
}
