package gateway

import (
	"encoding/json"
	"time"
)

const (
	// noteNews tells all nodes of a replica whose weights are being replaced, or
	// were.
	noteNews = "gateway.news"
	// newsAgain is after how long news are told once more, as a note may be lost.
	newsAgain = 120 * time.Millisecond
)

// news is about one replica.
type news struct {
	Replica string `json:"r"`
	// Avoid is for how many milliseconds it is to be passed over.
	Avoid int64 `json:"a,omitempty"`
	// Model and Version are the weights that it has now.
	Model   string `json:"m,omitempty"`
	Version int64  `json:"v,omitempty"`
}

// steer has all nodes pass a replica over for a while, beginning at once.
func (n *nodes) steer(id string, d time.Duration) {
	n.spread(news{Replica: id, Avoid: d.Milliseconds()})
}

// served tells all nodes that a replica has got other weights.
func (n *nodes) served(id, model string, version int64) {
	n.spread(news{Replica: id, Model: model, Version: version})
}

// spread tells news to all nodes, this one included.
func (n *nodes) spread(w news) {
	n.take(w)
	n.note(n.others(), noteNews, w)
	time.AfterFunc(newsAgain, func() { n.note(n.others(), noteNews, w) })
}

// hearNews takes in another node's news.
func (n *nodes) hearNews(params json.RawMessage) {
	var w news
	if err := json.Unmarshal(params, &w); err != nil {
		n.log.Debug("news not understood", "err", err)
		return
	}
	n.take(w)
}

func (n *nodes) take(w news) {
	until := time.Now().Add(time.Duration(w.Avoid) * time.Millisecond)
	for _, p := range n.beliefs.Pools() {
		if w.Avoid > 0 {
			p.Avoid(w.Replica, until)
		}
		if w.Version > 0 {
			p.Serves(w.Replica, w.Model, w.Version)
		}
	}
}
