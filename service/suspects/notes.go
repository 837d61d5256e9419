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
	// NoteCases carries cases of requests.
	NoteCases = "suspects.cases"
	// NoteLostRun carries the parts of the prompt of a run that was lost at a replica that ended.
	NoteLostRun = "suspects.lost"
	// NoteAsk asks for the finishes of parts of prompts.
	NoteAsk = "suspects.ask"
	// NoteDigest carries the digest of the watched and blocked causes that a node knows.
	NoteDigest = "suspects.digest"
	// StepInterval is how often a node compares its digest with that of one other node,
	// which takes 0.2 kB. A node that was cut off learns of a block by its third
	// comparison.
	StepInterval = time.Second
	// maxNoteBytes bounds the cases in one note, casesPerNote their number, and notesPerDigest
	// the notes that answer a digest.
	maxNoteBytes   = 12 << 10
	casesPerNote   = 30
	notesPerDigest = 2
)

// caseMessage is a case as it is sent to other nodes and stored. Times are encoded as ages,
// as nodes have no common clock.
type caseMessage struct {
	Fingerprint site.Fingerprint `json:"c"`
	QuickHash   uint64           `json:"s"`
	// Service and Part name a part of prompts. Both are empty for a request.
	Service string       `json:"v,omitempty"`
	Part    string       `json:"p,omitempty"`
	Ends    []endMessage `json:"e,omitempty"`
	// FinishedAgo is how many milliseconds ago the last of Finishes was, 0 for never. Older nodes know no other one.
	FinishedAgo int64           `json:"f,omitempty"`
	Finishes    []finishMessage `json:"g,omitempty"`
	Decisions   int             `json:"d,omitempty"`
}

type endMessage struct {
	Replica    string   `json:"r"`
	StartedAgo int64    `json:"b"` // In milliseconds.
	EndedAgo   int64    `json:"a"` // In milliseconds.
	Runs       []uint32 `json:"n,omitempty"`
}

type finishMessage struct {
	ID  uint32 `json:"i"`
	Ago int64  `json:"a"` // In milliseconds.
}

// unknownFinish is the ID of a finish that an older node has sent.
const unknownFinish = 0

func newCaseMessage(c suspect.Case, now time.Time) caseMessage {
	message := caseMessage{
		Fingerprint: c.Fingerprint, QuickHash: c.QuickHash, Service: c.Service, Part: c.Part,
		Finishes: newFinishMessages(c.Finishes, now), Decisions: c.Decisions,
	}
	if last := c.LastFinish(); !last.IsZero() {
		message.FinishedAgo = max(1, now.Sub(last).Milliseconds())
	}
	for _, e := range c.Ends {
		message.Ends = append(message.Ends, newEndMessage(e, now))
	}
	return message
}

func newEndMessage(e suspect.ReplicaEnd, now time.Time) endMessage {
	return endMessage{Replica: e.Replica, StartedAgo: now.Sub(e.StartedAt).Milliseconds(), EndedAgo: now.Sub(e.EndedAt).Milliseconds(), Runs: e.Runs}
}

func newFinishMessages(list []suspect.Finish, now time.Time) (messages []finishMessage) {
	for _, f := range list {
		messages = append(messages, finishMessage{ID: f.ID, Ago: now.Sub(f.At).Milliseconds()})
	}
	return messages
}

// timeBefore returns the time that is some milliseconds before another one.
func timeBefore(t time.Time, ms int64) time.Time {
	return t.Add(-time.Duration(max(0, ms)) * time.Millisecond)
}

func (m *endMessage) decode(writtenAt time.Time) suspect.ReplicaEnd {
	return suspect.ReplicaEnd{Replica: m.Replica, StartedAt: timeBefore(writtenAt, m.StartedAgo), EndedAt: timeBefore(writtenAt, m.EndedAgo), Runs: m.Runs}
}

func decodeFinishes(messages []finishMessage, writtenAt time.Time) (list []suspect.Finish) {
	for _, m := range messages {
		list = append(list, suspect.Finish{ID: m.ID, At: timeBefore(writtenAt, m.Ago)})
	}
	return list
}

// decode returns the case, with the ages counted back from writtenAt.
func (m *caseMessage) decode(writtenAt time.Time) suspect.Case {
	cause := suspect.RequestCause(m.Fingerprint, m.QuickHash)
	if m.Part != "" {
		cause = suspect.PartCause(m.Service, m.Part)
	}
	c := suspect.Case{Cause: cause, Finishes: decodeFinishes(m.Finishes, writtenAt), Decisions: m.Decisions}
	if len(m.Finishes) == 0 && m.FinishedAgo > 0 {
		c.Finishes = []suspect.Finish{{ID: unknownFinish, At: timeBefore(writtenAt, m.FinishedAgo)}}
	}
	for i := range m.Ends {
		c.Ends = append(c.Ends, m.Ends[i].decode(writtenAt))
	}
	return c
}

// casesNote holds the parameters of NoteCases.
type casesNote struct {
	Cases []caseMessage `json:"c"`
	// Collect means that the receiver is an owner of the request, and notifies all nodes
	// once the request is watched or blocked.
	Collect bool `json:"o,omitempty"`
	// Relay means that the receiver forwards the note to its hall.
	Relay bool `json:"p,omitempty"`
	// FromDigest means that the note answers a digest that differed, so the receiver may
	// have missed a broadcast.
	FromDigest bool `json:"m,omitempty"`
}

// digestNote holds the parameters of NoteDigest.
type digestNote struct {
	From   netip.AddrPort `json:"f"`
	Digest uint64         `json:"d"`
	// Answer means that the note answers another digest.
	Answer bool `json:"a,omitempty"`
	// Learning means that the sender has just started and needs an answer even if both
	// digests are equal. Learned means that the sender of an answer knows the blocked
	// requests.
	Learning bool `json:"l,omitempty"`
	Learned  bool `json:"k,omitempty"`
}

// announce sends a case to other nodes: to all if the cause is or was watched or blocked,
// otherwise to those that collect its evidence.
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
		s.notifier.SendNote(s.otherAddrs(s.collectors(c.Cause)), NoteCases, casesNote{Cases: []caseMessage{newCaseMessage(c, boottime.Now())}, Collect: true})
	})
}

// allowAnnounce limits the rate at which first ends are announced.
func (s *Suspects) allowAnnounce(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Sub(s.announceWindow) >= time.Second {
		s.announced, s.announceWindow = 0, now
	}
	s.announced++
	return s.announced <= maxFirstEndsPerSecond
}

// broadcast sends cases to all nodes, those of parts that the evidence does not tell apart together.
func (s *Suspects) broadcast(cases ...suspect.Case) {
	if len(cases) == 0 {
		return
	}
	s.sendTwice(func(try int) {
		direct, relays := s.notifier.Recipients(try)
		for left := cases; len(left) > 0; {
			messages := newCaseMessages(left, casesPerNote, maxNoteBytes, boottime.Now())
			left = left[len(messages):]
			s.notifier.SendNote(direct, NoteCases, casesNote{Cases: messages})
			s.notifier.SendNote(relays, NoteCases, casesNote{Cases: messages, Relay: true})
		}
	})
}

// resendDelay is the time after which sendTwice sends again.
const resendDelay = 120 * time.Millisecond

// sendTwice sends now and once more after resendDelay, as notes may be lost.
func (s *Suspects) sendTwice(send func(try int)) {
	send(0)
	time.AfterFunc(resendDelay, func() { send(1) })
}

// HandleCases handles a NoteCases of another node.
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
	cases := make([]suspect.Case, len(note.Cases))
	for i := range note.Cases {
		cases[i] = note.Cases[i].decode(now)
	}
	var missed []caseMessage
	for i, change := range s.mergeReceived(cases, note.Collect) {
		c := &cases[i]
		if c.Kind == suspect.KindPart && change.New && (note.Collect || s.collects(c.Service)) {
			s.decide(c.Service)
		}
		blocked := change.Before != change.After && change.After == suspect.Blocked
		if note.FromDigest && blocked && now.Sub(c.LastEvent()) < missedBlockAge {
			missed = append(missed, note.Cases[i])
		}
	}
	if len(missed) > 0 {
		// The other nodes of this hall have likely missed the block too, as the hall's relays
		// may be cut off. By comparing digests they would learn of it some seconds later.
		s.sendTwice(func(int) { s.notifier.SendNote(s.notifier.HallPeers(), NoteCases, casesNote{Cases: missed}) })
	}
}

// missedBlockAge is the age of the last event up to which a block counts as missed by the
// hall. A node that has just started learns of older blocks by digest, too, and need not
// notify its hall.
const missedBlockAge = 10 * time.Second

// finishJitter spreads the announcements of nodes that have finished a request which others
// suspect. The first ones make the rest unnecessary.
const finishJitter = 400 * time.Millisecond

// mergeReceived merges cases that another node has sent. One is broadcast if this node collects its evidence as an owner and it is
// watched or blocked, or if this node has finished the request.
func (s *Suspects) mergeReceived(received []suspect.Case, collect bool) []suspect.MergeResult {
	changes := s.register.MergeAll(received)
	var flagged []suspect.Case
	for i, change := range changes {
		c := s.register.Case(received[i].Fingerprint)
		s.logChange(c, change)
		switch {
		case collect && change.New && change.After != suspect.Allowed:
			flagged = append(flagged, c)
		case change.OwnFinish && received[i].Verdict() != suspect.Allowed:
			time.AfterFunc(rand.N(finishJitter), func() {
				if s.register.TryAnnounce(c.Fingerprint) {
					s.broadcast(s.register.Case(c.Fingerprint))
				}
			})
		}
	}
	s.broadcast(flagged...)
	return changes
}

// Step deletes old cases and compares the digest of this node with that of another one. The
// timer service calls it.
func (s *Suspects) Step(context.Context) {
	now := boottime.Now()
	s.register.Expire(now)
	s.forgetDelisted(now)
	s.sendDigest(s.members.View().All()) // Failed members too, as this node may have been cut off.
}

// HandleDigest handles a NoteDigest. If the digests differ, it sends cases that the other
// node may lack.
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
	// Cleared cases are included, as the other node may still watch them: of the nodes that
	// know of a finish, only the few that saw it themselves announce it.
	cases = append(cases, s.register.Cleared(casesPerNote)...)
	rand.Shuffle(len(cases), func(i, j int) { cases[i], cases[j] = cases[j], cases[i] })
	now := boottime.Now()
	for range notesPerDigest {
		messages := newCaseMessages(cases, casesPerNote, maxNoteBytes, now)
		if len(messages) == 0 {
			return
		}
		cases = cases[len(messages):]
		s.notifier.SendNote(to, NoteCases, casesNote{Cases: messages, FromDigest: true})
	}
}

// newCaseMessages returns the messages of the first cases, at most limit of them, that take at most maxBytes.
func newCaseMessages(cases []suspect.Case, limit, maxBytes int, now time.Time) (messages []caseMessage) {
	size := 0
	for _, c := range cases[:min(len(cases), limit)] {
		m := newCaseMessage(c, now)
		if size += m.size(); size > maxBytes {
			break
		}
		messages = append(messages, m)
	}
	return messages
}

// size is about the length of the encoded message.
func (m *caseMessage) size() int {
	const bytesPerCase, bytesPerEnd, bytesPerFinish = 120, 110, 32
	return bytesPerCase + len(m.Service) + len(m.Part) + bytesPerEnd*len(m.Ends) + bytesPerFinish*len(m.Finishes)
}

// unlimited is a limit above any number of cases.
const unlimited = 1 << 20

// ServeRun answers a MethodRun call of another node.
func (s *Suspects) ServeRun(_ context.Context, params json.RawMessage) (any, error) {
	var req runRequest
	if err := json.Unmarshal(params, &req); err != nil {
		return nil, eris.Wrap(err, "bad parameters")
	}
	maxRun := min(time.Duration(req.MaxMS)*time.Millisecond, maxRunTime)
	return runAnswer{Run: s.register.GrantRun(req.Content, req.Node, maxRun, boottime.Now())}, nil
}

// ServeRunEnded answers a MethodRunEnded call of another node.
func (s *Suspects) ServeRunEnded(_ context.Context, params json.RawMessage) (any, error) {
	var req runRequest
	if err := json.Unmarshal(params, &req); err != nil {
		return nil, eris.Wrap(err, "bad parameters")
	}
	s.register.EndGrantedRun(req.Content, req.Node)
	return struct{}{}, nil
}
