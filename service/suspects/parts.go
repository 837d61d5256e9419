package suspects

import (
	"encoding/json"
	"slices"
	"time"

	"github.com/drumpath/drumpath/pkg/boottime"
	"github.com/drumpath/drumpath/pkg/control"
	"github.com/drumpath/drumpath/pkg/suspect"
)

// maxParts bounds the parts of one prompt that are evidence, and maxPartBytes their IDs, which callers choose. Prompts
// have some ten.
const (
	maxParts     = 32
	maxPartBytes = 64
)

// isValidPart reports whether a part is evidence.
func isValidPart(id string) bool { return id != "" && len(id) <= maxPartBytes }

// lostRunNote holds the parameters of NoteLostRun. The end is common to all parts.
type lostRunNote struct {
	Service string        `json:"v"`
	End     endMessage    `json:"e"`
	Parts   []partMessage `json:"p"`
}

// partMessage is a part of the prompt of a lost run, with the finishes that the sender remembers.
type partMessage struct {
	Part     string          `json:"p"`
	Finishes []finishMessage `json:"g,omitempty"`
}

// partCauses returns the distinct parts of a prompt as causes.
func partCauses(service string, parts []string) (list []suspect.Cause) {
	for i, p := range parts[:min(len(parts), maxParts)] {
		if isValidPart(p) && !slices.Contains(parts[:i], p) {
			list = append(list, suspect.PartCause(service, p))
		}
	}
	return list
}

// recordPartEnds records that a replica ended while a prompt was in flight there, as evidence about the prompt's parts.
func (s *Suspects) recordPartEnds(r *LostRun, end suspect.ReplicaEnd, now time.Time) {
	if len(r.Parts) == 0 {
		return
	}
	var cases []suspect.Case
	for _, cause := range partCauses(r.Service, r.Parts) {
		cases = append(cases, suspect.Case{Cause: cause, Ends: []suspect.ReplicaEnd{end}})
	}
	note := lostRunNote{Service: r.Service}
	for i, change := range s.register.MergeAll(cases) {
		c := s.register.Case(cases[i].Fingerprint)
		s.logChange(c, change)
		note.Parts = append(note.Parts, partMessage{Part: cases[i].Part, Finishes: newFinishMessages(c.Finishes, now)})
	}
	s.sendLostRun(note, end, now)
	if s.collects(r.Service) {
		s.decide(r.Service)
	}
}

// sendLostRun sends a note to the nodes that collect the evidence.
func (s *Suspects) sendLostRun(note lostRunNote, end suspect.ReplicaEnd, now time.Time) {
	if !s.allowAnnounce(now) {
		s.metrics.unannounced.Add(1)
		return
	}
	s.sendTwice(func(int) {
		note.End = newEndMessage(end, boottime.Now())
		s.notifier.SendNote(s.otherAddrs(s.partCollectors(note.Service)), NoteLostRun, note)
	})
}

// collectorRank returns the rank of this node among those that collect the evidence, -1 if it is none of them.
func (s *Suspects) collectorRank(service string) int {
	return slices.IndexFunc(s.partCollectors(service), func(m control.Member) bool { return m.Name == s.self.Name })
}

// collects reports whether this node collects the evidence about the parts of a service.
func (s *Suspects) collects(service string) bool {
	return s.collectorRank(service) >= 0
}

// HandleLostRun handles a NoteLostRun of another node.
func (s *Suspects) HandleLostRun(params json.RawMessage) {
	var note lostRunNote
	if err := json.Unmarshal(params, &note); err != nil || note.Service == "" || note.End.Replica == "" {
		s.log.Debug("lost run can't be decoded", "err", err)
		return
	}
	now := boottime.Now()
	end := note.End.decode(now)
	var cases []suspect.Case
	for _, p := range note.Parts[:min(len(note.Parts), maxParts)] {
		if isValidPart(p.Part) {
			cases = append(cases, suspect.Case{Cause: suspect.PartCause(note.Service, p.Part), Ends: []suspect.ReplicaEnd{end}, Finishes: decodeFinishes(p.Finishes, now)})
		}
	}
	s.mergeReceived(cases, true)
	s.decide(note.Service)
}

// decide blocks and releases parts of a service on the evidence, and tells all nodes. Before that it asks
// them for finishes: the nodes that collect evidence know those of few others.
func (s *Suspects) decide(service string) {
	changed, unasked := s.register.Decide(service, boottime.Now())
	for _, c := range changed {
		change := suspect.MergeResult{Before: suspect.Blocked, After: c.Verdict()}
		if change.After == suspect.Blocked {
			change.Before = suspect.Allowed
		}
		s.logChange(c, change)
	}
	s.broadcast(changed...)
	if !unasked {
		return
	}
	// The first collector asks. The others do in its place if it has ended or is cut off.
	rank := s.collectorRank(service)
	if rank <= 0 {
		s.askForFinishes(service)
		return
	}
	time.AfterFunc(time.Duration(rank)*askStagger, func() { s.askForFinishes(service) })
}

const (
	// askStagger is the time for which a collector waits for one before it to ask for finishes.
	askStagger = 60 * time.Millisecond
	// askPause is the least time between two questions of this node. maxPartsAsked bounds the parts that one question
	// is about, and maxFinishesTold the finishes of each in an answer.
	askPause        = 200 * time.Millisecond
	maxPartsAsked   = 8
	maxFinishesTold = 3
)

// askNote holds the parameters of NoteAsk.
type askNote struct {
	Service string   `json:"v"`
	Parts   []string `json:"p"`
	// Relay means that the receiver forwards the note to its hall.
	Relay bool `json:"l,omitempty"`
}

// askForFinishes asks all nodes for the finishes of the parts that may soon be blocked.
func (s *Suspects) askForFinishes(service string) {
	now := boottime.Now()
	if !s.mayAsk(now) {
		s.decideLater(service)
		return
	}
	parts := s.register.TakeUnasked(service, maxPartsAsked, now)
	if len(parts) == 0 {
		return
	}
	s.sendTwice(func(try int) {
		direct, relays := s.notifier.Recipients(try)
		s.notifier.SendNote(direct, NoteAsk, askNote{Service: service, Parts: parts})
		s.notifier.SendNote(relays, NoteAsk, askNote{Service: service, Parts: parts, Relay: true})
	})
	s.decideLater(service)
}

// mayAsk reports whether this node may ask now. If not, the question is put later.
func (s *Suspects) mayAsk(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Sub(s.askedAt) < askPause {
		return false
	}
	s.askedAt = now
	return true
}

func (s *Suspects) decideLater(service string) {
	time.AfterFunc(suspect.AnswerTime, func() { s.decide(service) })
}

// HandleAsk handles a NoteAsk of another node.
func (s *Suspects) HandleAsk(params json.RawMessage) {
	var note askNote
	if err := json.Unmarshal(params, &note); err != nil || note.Service == "" {
		s.log.Debug("question for finishes can't be decoded", "err", err)
		return
	}
	if note.Relay {
		s.notifier.SendNote(s.notifier.HallPeers(), NoteAsk, askNote{Service: note.Service, Parts: note.Parts})
	}
	now := boottime.Now()
	var reply casesNote
	for _, p := range note.Parts[:min(len(note.Parts), maxPartsAsked)] {
		cause := suspect.PartCause(note.Service, p)
		if finishes := s.register.MarkAsked(cause, now); len(finishes) > 0 {
			finishes = finishes[max(0, len(finishes)-maxFinishesTold):]
			reply.Cases = append(reply.Cases, newCaseMessage(suspect.Case{Cause: cause, Finishes: finishes}, now))
		}
	}
	if s.collects(note.Service) {
		s.decideLater(note.Service)
	}
	if len(reply.Cases) == 0 {
		return
	}
	reply.Collect = true
	s.notifier.SendNote(s.otherAddrs(s.partCollectors(note.Service)), NoteCases, reply)
}

// RecordPartFinishes records that a replica finished a prompt, as evidence about its parts.
func (s *Suspects) RecordPartFinishes(service string, parts []string, now time.Time) {
	parts = parts[:min(len(parts), maxParts)]
	for _, p := range parts {
		s.register.RecordFinish(suspect.PartHash(service, p), now)
	}
	if s.register.Empty() {
		return
	}
	for _, cause := range partCauses(service, parts) {
		if c := s.register.Case(cause.Fingerprint); len(c.Ends) > 0 {
			s.mergeFinish(cause, now)
		}
	}
}

// Judge returns the strictest verdict on a request, by its content and by the parts of its prompt, and the case that it
// rests on.
func (s *Suspects) Judge(request suspect.Cause, service string, parts []string) (suspect.Case, suspect.Verdict) {
	var causes []suspect.Cause
	if s.register.HasBlockedParts() {
		causes = partCauses(service, parts)
	}
	return s.register.Judge(request, causes)
}
