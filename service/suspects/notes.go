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
	// casesPerNote is how many go in one note, some 400 bytes each, and casesNotes how
	// many notes answer a digest.
	casesPerNote   = 30
	notesPerDigest = 2
)

// caseMessage is a case as one node tells it to another, or writes it to the store. Times are
// told as ages, as nodes have no clock in common.
type caseMessage struct {
	Content   site.Fingerprint `json:"c"`
	QuickHash uint64           `json:"s"`
	Ends      []endMessage     `json:"e,omitempty"`
	// FinishedAgo is how many milliseconds ago the request was finished, 0 for never.
	FinishedAgo int64 `json:"f,omitempty"`
}

type endMessage struct {
	Replica    string `json:"r"`
	StartedAgo int64  `json:"b"` // How many milliseconds ago.
	EndedAgo   int64  `json:"a"` // How many milliseconds ago.
}

func newCaseMessage(c suspect.Case, now time.Time) caseMessage {
	message := caseMessage{Content: c.Content, QuickHash: c.QuickHash}
	if !c.Finished.IsZero() {
		message.FinishedAgo = max(1, now.Sub(c.Finished).Milliseconds())
	}
	for _, e := range c.Ends {
		message.Ends = append(message.Ends, endMessage{e.Replica, now.Sub(e.StartedAt).Milliseconds(), now.Sub(e.EndedAt).Milliseconds()})
	}
	return message
}

// caseAt is the case that is told of, if the news is of a time.
func (w *caseMessage) decode(writtenAt time.Time) suspect.Case {
	ago := func(ms int64) time.Time { return writtenAt.Add(-time.Duration(max(0, ms)) * time.Millisecond) }
	c := suspect.Case{Content: w.Content, QuickHash: w.QuickHash}
	if w.FinishedAgo > 0 {
		c.Finished = ago(w.FinishedAgo)
	}
	for _, e := range w.Ends {
		c.Ends = append(c.Ends, suspect.ReplicaEnd{Replica: e.Replica, StartedAt: ago(e.StartedAgo), EndedAt: ago(e.EndedAgo)})
	}
	return c
}

// casesNote is what is told in one note.
type casesNote struct {
	Cases []caseMessage `json:"c"`
	// Collect says that the hearer owns the request: it tells all nodes if need be.
	Collect bool `json:"o,omitempty"`
	// Relay says that the hearer tells it on in its hall.
	Relay bool `json:"p,omitempty"`
	// FromDigest says that the hearer held something else: it missed what all were told.
	FromDigest bool `json:"m,omitempty"`
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
	Learned  bool `json:"k,omitempty"`
}

// announce tells other nodes what this one has seen of a request.
func (s *Suspects) announce(c suspect.Case, change suspect.MergeResult, now time.Time) {
	if change.Before != suspect.Allowed || change.After != suspect.Allowed {
		s.broadcast(c)
		return
	}
	if !s.allowAnnounce(now) {
		s.metrics.unannounced.Add(1)
		return
	}
	s.sendTwice(func(int) {
		var to []netip.AddrPort
		for _, o := range s.owners(c.Content) {
			if o.Name != s.self.Name {
				to = append(to, o.Peer)
			}
		}
		s.notifier.SendNote(to, NoteCases, casesNote{Cases: []caseMessage{newCaseMessage(c, boottime.Now())}, Collect: true})
	})
}

// allowAnnounce bounds what is told of first ends.
func (s *Suspects) allowAnnounce(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Sub(s.announceWindow) >= time.Second {
		s.announced, s.announceWindow = 0, now
	}
	s.announced++
	return s.announced <= maxFirstEndsPerSecond
}

// broadcast tells all nodes.
func (s *Suspects) broadcast(c suspect.Case) {
	s.sendTwice(func(try int) {
		messages := []caseMessage{newCaseMessage(c, boottime.Now())}
		direct, relays := s.notifier.Recipients(try)
		s.notifier.SendNote(direct, NoteCases, casesNote{Cases: messages})
		s.notifier.SendNote(relays, NoteCases, casesNote{Cases: messages, Relay: true})
	})
}

// resendDelay is after how long a note is sent once more, as it may be lost.
const resendDelay = 120 * time.Millisecond

// sendTwice does something now and once more a little later, as notes may be lost.
func (s *Suspects) sendTwice(send func(try int)) {
	send(0)
	time.AfterFunc(resendDelay, func() { send(1) })
}

// HandleCases takes in what another node tells.
func (s *Suspects) HandleCases(params json.RawMessage) {
	var note casesNote
	if err := json.Unmarshal(params, &note); err != nil {
		s.log.Debug("suspects notification can't be decoded", "err", err)
		return
	}
	if note.Relay {
		s.notifier.SendNote(s.notifier.HallPeers(), NoteCases, casesNote{Cases: note.Cases})
	}
	now := boottime.Now()
	var missed []caseMessage
	for i := range note.Cases {
		c := note.Cases[i].decode(now)
		change := s.mergeReceived(c, note.Collect)
		blocked := change.Before != change.After && change.After == suspect.Blocked
		if note.FromDigest && blocked && now.Sub(c.LastEvent()) < missedBlockAge {
			missed = append(missed, note.Cases[i])
		}
	}
	if len(missed) > 0 {
		// The others of this hall have likely missed it, too, as those that tell the hall may be
		// cut off: alone, each would hear of it some seconds later.
		s.sendTwice(func(int) { s.notifier.SendNote(s.notifier.HallPeers(), NoteCases, casesNote{Cases: missed}) })
	}
}

// missedBlockAge is how long ago an end must be at most for a block to be one that a hall may have
// missed: a node that has just started hears of all blocks so.
const missedBlockAge = 10 * time.Second

// finishJitter is over what time nodes that have finished a request which others suspect
// say so. The first ones save the rest the word.
const finishJitter = 400 * time.Millisecond

// take takes in what another node tells of a request; its owners tell all nodes if need be.
func (s *Suspects) mergeReceived(received suspect.Case, collect bool) (change suspect.MergeResult) {
	change = s.register.Merge(received)
	c := s.register.Case(received.Content)
	s.logChange(c, change)
	switch {
	case collect && change.New && change.After != suspect.Allowed:
		s.broadcast(c)
	case change.OwnFinish && received.Verdict() != suspect.Allowed:
		time.AfterFunc(rand.N(finishJitter), func() {
			if s.register.ShouldAnnounce(c.Content) {
				s.broadcast(s.register.Case(c.Content))
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
	s.forgetDelisted(now)
	s.sendDigest(s.members.View().All) // The dead too: this node may have been cut off.
}

// HandleDigest answers a node that holds something else than this one.
func (s *Suspects) HandleDigest(params json.RawMessage) {
	var received digestNote
	if err := json.Unmarshal(params, &received); err != nil || !received.From.IsValid() {
		s.log.Debug("suspects digest can't be decoded", "err", err)
		return
	}
	own := s.register.Digest()
	if own == received.Digest && received.Learned {
		s.MarkLearned()
	}
	to := []netip.AddrPort{received.From}
	if !received.Answer && (own != received.Digest || received.Learning) {
		s.notifier.SendNote(to, NoteDigest, digestNote{From: s.self.Peer, Digest: own, Answer: true, Learned: s.hasLearned()})
	}
	if own == received.Digest {
		return
	}
	cases := s.register.Flagged(unlimited)
	// Also what is free again, or the other one would go on holding that up: of all that know,
	// few have finished it themselves, and so speak of it unasked.
	cases = append(cases, s.register.Cleared(casesPerNote)...)
	rand.Shuffle(len(cases), func(i, j int) { cases[i], cases[j] = cases[j], cases[i] })
	now := boottime.Now()
	for range notesPerDigest {
		batch := cases[:min(casesPerNote, len(cases))]
		cases = cases[len(batch):]
		if len(batch) == 0 {
			return
		}
		reply := casesNote{FromDigest: true}
		for _, c := range batch {
			reply.Cases = append(reply.Cases, newCaseMessage(c, now))
		}
		s.notifier.SendNote(to, NoteCases, reply)
	}
}

// unlimited is over what a node may hold.
const unlimited = 1 << 20

// ServeRun answers a node that asks whether a watched request may run.
func (s *Suspects) ServeRun(_ context.Context, params json.RawMessage) (any, error) {
	var req runRequest
	if err := json.Unmarshal(params, &req); err != nil {
		return nil, eris.Wrap(err, "bad parameters")
	}
	maxRun := min(time.Duration(req.MaxMS)*time.Millisecond, maxRunTime)
	return runAnswer{Run: s.register.GrantRun(req.Content, req.Node, maxRun, boottime.Now())}, nil
}

func (s *Suspects) ServeRunEnded(_ context.Context, params json.RawMessage) (any, error) {
	var req runRequest
	if err := json.Unmarshal(params, &req); err != nil {
		return nil, eris.Wrap(err, "bad parameters")
	}
	s.register.EndGrantedRun(req.Content, req.Node)
	return struct{}{}, nil
}
