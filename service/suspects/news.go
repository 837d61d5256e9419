package suspects

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/rotisserie/eris"

	"github.com/drumpath/drumpath/pkg/boottime"
	"github.com/drumpath/drumpath/pkg/site"
	"github.com/drumpath/drumpath/pkg/suspect"
)

const (
	// NoteCases tells of requests under which replicas ended.
	NoteCases = "suspects.cases"
	// NoteDigest tells of what a node holds of them.
	NoteDigest = "suspects.digest"
	// StepInterval is how often a node compares what it holds with one other's, which
	// takes 0.2 kB: one that was cut off has heard of a block by its third look.
	StepInterval = time.Second
	// casesMost is how many go in one note, some 400 bytes each, and casesNotes how
	// many notes answer a digest.
	casesMost  = 30
	casesNotes = 2
)

// caseNews is a case as one node tells it to another, or writes it to the store. Times are
// told as ages, as nodes have no clock in common.
type caseNews struct {
	Content site.Fingerprint `json:"c"`
	Sketch  uint64           `json:"s"`
	Ends    []endNews        `json:"e,omitempty"`
	// Finished is how many milliseconds ago the request was finished, 0 for never.
	Finished int64 `json:"f,omitempty"`
}

type endNews struct {
	Replica string `json:"r"`
	Begun   int64  `json:"b"` // How many milliseconds ago.
	At      int64  `json:"a"` // How many milliseconds ago.
}

func newsOfCase(c suspect.Case, now time.Time) caseNews {
	news := caseNews{Content: c.Content, Sketch: c.QuickHash}
	if !c.Finished.IsZero() {
		news.Finished = max(1, now.Sub(c.Finished).Milliseconds())
	}
	for _, e := range c.Ends {
		news.Ends = append(news.Ends, endNews{e.Replica, now.Sub(e.StartedAt).Milliseconds(), now.Sub(e.EndedAt).Milliseconds()})
	}
	return news
}

// caseAt is the case that is told of, if the news is of a time.
func (w *caseNews) caseAt(at time.Time) suspect.Case {
	ago := func(ms int64) time.Time { return at.Add(-time.Duration(max(0, ms)) * time.Millisecond) }
	c := suspect.Case{Content: w.Content, QuickHash: w.Sketch}
	if w.Finished > 0 {
		c.Finished = ago(w.Finished)
	}
	for _, e := range w.Ends {
		c.Ends = append(c.Ends, suspect.ReplicaEnd{Replica: e.Replica, StartedAt: ago(e.Begun), EndedAt: ago(e.At)})
	}
	return c
}

// casesNote is what is told in one note.
type casesNote struct {
	Cases []caseNews `json:"c"`
	// Collect says that the hearer owns the request: it tells all nodes if need be.
	Collect bool `json:"o,omitempty"`
	// Pass says that the hearer tells it on in its hall.
	Pass bool `json:"p,omitempty"`
	// Compared says that the hearer held something else: it missed what all were told.
	Compared bool `json:"m,omitempty"`
}

// digestNote tells of what a node holds.
type digestNote struct {
	From   netip.AddrPort `json:"f"`
	Digest uint64         `json:"d"`
	// Answer says that it answers such a note.
	Answer bool `json:"a,omitempty"`
	// Learning says that the node has just started, and waits for an answer also where
	// both hold the same; Knows that the one who answers has heard what is blocked.
	Learning bool `json:"l,omitempty"`
	Knows    bool `json:"k,omitempty"`
}

// tell tells other nodes what this one has seen of a request.
func (s *Suspects) tell(c suspect.Case, change suspect.MergeResult, now time.Time) {
	if change.Before != suspect.Allowed || change.After != suspect.Allowed {
		s.spread(c)
		return
	}
	if !s.mayTell(now) {
		s.metrics.untold.Add(1)
		return
	}
	s.twice(func(int) {
		var to []netip.AddrPort
		for _, o := range s.owners(c.Content) {
			if o.Name != s.self.Name {
				to = append(to, o.Peer)
			}
		}
		s.notes.SendNote(to, NoteCases, casesNote{Cases: []caseNews{newsOfCase(c, boottime.Now())}, Collect: true})
	})
}

// mayTell bounds what is told of first ends.
func (s *Suspects) mayTell(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Sub(s.toldFrom) >= time.Second {
		s.told, s.toldFrom = 0, now
	}
	s.told++
	return s.told <= mostToldEnds
}

// spread tells all nodes.
func (s *Suspects) spread(c suspect.Case) {
	s.twice(func(try int) {
		news := []caseNews{newsOfCase(c, boottime.Now())}
		direct, relays := s.notes.Recipients(try)
		s.notes.SendNote(direct, NoteCases, casesNote{Cases: news})
		s.notes.SendNote(relays, NoteCases, casesNote{Cases: news, Pass: true})
	})
}

// tellAgain is after how long a note is sent once more, as it may be lost.
const tellAgain = 120 * time.Millisecond

// twice does something now and once more a little later, as notes may be lost.
func (s *Suspects) twice(send func(try int)) {
	send(0)
	time.AfterFunc(tellAgain, func() { send(1) })
}

// HandleCases takes in what another node tells.
func (s *Suspects) HandleCases(params json.RawMessage) {
	var w casesNote
	if err := json.Unmarshal(params, &w); err != nil {
		s.log.Debug("suspects notification can't be decoded", "err", err)
		return
	}
	if w.Pass {
		s.notes.SendNote(s.notes.HallPeers(), NoteCases, casesNote{Cases: w.Cases})
	}
	now := boottime.Now()
	var missed []caseNews
	for i := range w.Cases {
		c := w.Cases[i].caseAt(now)
		change := s.take(c, w.Collect)
		blocked := change.Before != change.After && change.After == suspect.Blocked
		if w.Compared && blocked && now.Sub(c.LastEvent()) < missedTerm {
			missed = append(missed, w.Cases[i])
		}
	}
	if len(missed) > 0 {
		// The others of this hall have likely missed it, too, as those that tell the hall may be
		// cut off: alone, each would hear of it some seconds later.
		s.twice(func(int) { s.notes.SendNote(s.notes.HallPeers(), NoteCases, casesNote{Cases: missed}) })
	}
}

// missedTerm is how long ago an end must be at most for a block to be one that a hall may have
// missed: a node that has just started hears of all blocks so.
const missedTerm = 10 * time.Second

// finishSpread is over what time nodes that have finished a request which others suspect
// say so. The first ones save the rest the word.
const finishSpread = 400 * time.Millisecond

// take takes in what another node tells of a request; its owners tell all nodes if need be.
func (s *Suspects) take(told suspect.Case, collect bool) (change suspect.MergeResult) {
	change = s.register.Merge(told)
	c := s.register.Case(told.Content)
	s.changed(c, change)
	switch {
	case collect && change.New && change.After != suspect.Allowed:
		s.spread(c)
	case change.OwnFinish && told.Verdict() != suspect.Allowed:
		time.AfterFunc(rand.N(finishSpread), func() {
			if s.register.ShouldAnnounce(c.Content) {
				s.spread(s.register.Case(c.Content))
			}
		})
	}
	return change
}

// Step forgets what is old and compares what this node holds with another one's; the timer
// service calls it.
func (s *Suspects) Step(context.Context) {
	now := boottime.Now()
	s.register.Expire(now)
	s.forgetGone(now)
	s.compareWith(s.members.View().All) // The dead too: this node may have been cut off.
}

// HandleDigest answers a node that holds something else than this one.
func (s *Suspects) HandleDigest(params json.RawMessage) {
	var w digestNote
	if err := json.Unmarshal(params, &w); err != nil || !w.From.IsValid() {
		s.log.Debug("suspects digest can't be decoded", "err", err)
		return
	}
	own := s.register.Digest()
	if own == w.Digest && w.Knows {
		s.MarkLearned()
	}
	to := []netip.AddrPort{w.From}
	if !w.Answer && (own != w.Digest || w.Learning) {
		s.notes.SendNote(to, NoteDigest, digestNote{From: s.self.Peer, Digest: own, Answer: true, Knows: s.knows()})
	}
	if own == w.Digest {
		return
	}
	held := s.register.Flagged(mostHeld)
	// Also what is free again, or the other one would go on holding that up: of all that know,
	// few have finished it themselves, and so speak of it unasked.
	held = append(held, s.register.Cleared(casesMost)...)
	rand.Shuffle(len(held), func(i, j int) { held[i], held[j] = held[j], held[i] })
	now := boottime.Now()
	for range casesNotes {
		part := held[:min(casesMost, len(held))]
		held = held[len(part):]
		if len(part) == 0 {
			return
		}
		note := casesNote{Compared: true}
		for _, c := range part {
			note.Cases = append(note.Cases, newsOfCase(c, now))
		}
		s.notes.SendNote(to, NoteCases, note)
	}
}

// mostHeld is over what a node may hold.
const mostHeld = 1 << 20

// ServeRun answers a node that asks whether a watched request may run.
func (s *Suspects) ServeRun(_ context.Context, params json.RawMessage) (any, error) {
	var q runRequest
	if err := json.Unmarshal(params, &q); err != nil {
		return nil, eris.Wrap(err, "bad parameters")
	}
	most := min(time.Duration(q.MostMS)*time.Millisecond, longestRun)
	return runAnswer{Run: s.register.GrantRun(q.Content, q.Node, most, boottime.Now())}, nil
}

func (s *Suspects) ServeRunEnded(_ context.Context, params json.RawMessage) (any, error) {
	var q runRequest
	if err := json.Unmarshal(params, &q); err != nil {
		return nil, eris.Wrap(err, "bad parameters")
	}
	s.register.EndGrantedRun(q.Content, q.Node)
	return struct{}{}, nil
}
