package gateway

import (
	"encoding/json"
	"net/netip"
	"slices"
	"time"

	"github.com/drumpath/drumpath/pkg/boottime"
	"github.com/drumpath/drumpath/pkg/route"
	"github.com/drumpath/drumpath/service/ratelimit"
)

// News of replicas go to every node. In a small fleet each is told at once and to
// all. In a large one a roll-out of weights changes hundreds of replicas a second:
// news go in groups, and to one node of each large hall, which tells the others
// there, so that bytes between halls don't grow with the nodes. They are told once
// more through another node, as a note or the first node may be lost.
const (
	// noteNews tells of replicas whose weights are being replaced, or were.
	noteNews = "gateway.news"
	// newsAgain is after how long news are told once more, as a note may be lost.
	newsAgain = 120 * time.Millisecond
	// newsEvery is for how long news are gathered in a large fleet: a small part
	// of the time between steering requests away and an order.
	newsEvery = 30 * time.Millisecond
	// newsMost is how many go in one note, some 60 bytes each.
	newsMost = 200
	// newsDuty names the duty of telling news on in a hall.
	newsDuty = "news/"
)

// news is about one replica.
type news struct {
	Replica string `json:"r"`
	// Started is the replica's start that is meant, in Unix milliseconds; 0 for any.
	Started int64 `json:"t,omitempty"`
	// Lost says that it was not reached: it may have started again, and be cold.
	Lost bool `json:"x,omitempty"`
	// Draining says that its answers say so.
	Draining bool `json:"d,omitempty"`
	// Avoid is for how many milliseconds it is to be passed over while it gets the
	// weights; without it, it has them.
	Avoid int64 `json:"a,omitempty"`
	// Rate says how many requests a second it takes from all nodes; it names the replica itself.
	Rate *ratelimit.RateUpdate `json:"l,omitempty"`
	// Model and Version are the weights.
	Model   string `json:"m,omitempty"`
	Version int64  `json:"v,omitempty"`
}

// newsNote is what is told in one note; Pass says that the hearer tells it on in
// its hall.
type newsNote struct {
	News []news `json:"n"`
	Pass bool   `json:"p,omitempty"`
}

// steer has all nodes pass a replica over for a while, beginning at once.
func (n *nodes) steer(w route.ReplicaRef, model string, version int64, d time.Duration) {
	n.spread(newsOf(w, news{Avoid: d.Milliseconds(), Model: model, Version: version}))
}

// served tells all nodes that a replica has got other weights.
func (n *nodes) served(w route.ReplicaRef, model string, version int64) {
	n.spread(newsOf(w, news{Model: model, Version: version}))
}

// doubt tells all nodes that a replica was not reached.
func (n *nodes) doubt(w route.ReplicaRef) { n.spread(newsOf(w, news{Lost: true})) }

// hearDraining takes in that a replica has told this node that it drains, and tells all nodes
// the first time.
func (n *nodes) hearDraining(w route.ReplicaRef) {
	if n.beliefs.ApplyDraining(w, boottime.Now()) {
		n.spread(newsOf(w, news{Draining: true}))
	}
}

// AnnounceRate implements ratelimit.Announcer.
func (n *nodes) AnnounceRate(r ratelimit.RateUpdate) { n.spread(news{Replica: r.Replica, Rate: &r}) }

// newsOf completes news with the replica that they are of.
func newsOf(w route.ReplicaRef, about news) news {
	about.Replica = w.ID
	if !w.Started.IsZero() {
		about.Started = w.Started.UnixMilli()
	}
	return about
}

// whom names the replica that news are of.
func (w *news) whom() route.ReplicaRef {
	who := route.ReplicaRef{ID: w.Replica}
	if w.Started > 0 {
		who.Started = time.UnixMilli(w.Started)
	}
	return who
}

// spread tells news to all nodes, this one included.
func (n *nodes) spread(w news) {
	n.take(w)
	if _, relays := n.newsAudience(0); len(relays) == 0 {
		n.tellNews([]news{w})
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.gathered = append(n.gathered, w)
	if len(n.gathered) == 1 {
		time.AfterFunc(newsEvery, n.tellGathered)
	}
}

func (n *nodes) tellGathered() {
	n.mu.Lock()
	list := n.gathered
	n.gathered = nil
	n.mu.Unlock()
	for part := range slices.Chunk(list, newsMost) {
		n.tellNews(part)
	}
}

// tellNews tells news twice.
func (n *nodes) tellNews(list []news) {
	n.sendNews(list, 0)
	time.AfterFunc(newsAgain, func() { n.sendNews(list, 1) })
}

func (n *nodes) sendNews(list []news, try int) {
	direct, relays := n.newsAudience(try)
	n.note(direct, noteNews, newsNote{News: list})
	n.note(relays, noteNews, newsNote{News: list, Pass: true})
}

// newsAudience are the nodes that are told news by this one: all of small halls, and
// of each large one a node that tells the others, another one at each try.
func (n *nodes) newsAudience(try int) (direct, relays []netip.AddrPort) {
	return n.members.View().Recipients(n.self.Name, maxDirectNodes, newsDuty, try)
}

// hearNews takes in another node's news, and tells them on if it is asked to.
func (n *nodes) hearNews(params json.RawMessage) {
	var w newsNote
	if err := json.Unmarshal(params, &w); err != nil {
		n.dropped.Add(1)
		n.log.Debug("replica updates can't be decoded", "err", err)
		return
	}
	if w.Pass {
		n.note(n.inHall(n.self.DataHall), noteNews, newsNote{News: w.News})
	}
	for _, one := range w.News {
		n.take(one)
	}
}

func (n *nodes) take(w news) {
	now := boottime.Now()
	if w.Rate != nil {
		n.rateLimits.ApplyUpdate(*w.Rate)
		return
	}
	if w.Draining {
		n.beliefs.ApplyDraining(w.whom(), now)
		return
	}
	until := now.Add(time.Duration(w.Avoid) * time.Millisecond)
	for _, p := range n.beliefs.Pools() {
		switch {
		case w.Lost:
			p.PresumeCold(w.whom(), now)
		case w.Avoid > 0:
			p.AvoidForSwap(w.whom(), w.Model, w.Version, until)
		case w.Version > 0:
			p.RecordWeights(w.whom(), w.Model, w.Version)
		}
	}
}
