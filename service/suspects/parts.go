package suspects

import (
	"encoding/json"
	"net/netip"
	"slices"
	"time"

	"github.com/drumpath/drumpath/pkg/boottime"
	"github.com/drumpath/drumpath/pkg/control"
	"github.com/drumpath/drumpath/pkg/suspect"
)

// maxParts bounds the parts of one prompt that are evidence; prompts have some ten.
const maxParts = 32

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
		if p != "" && !slices.Contains(parts[:i], p) {
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
	note := lostRunNote{Service: r.Service}
	for _, cause := range partCauses(r.Service, r.Parts) {
		change := s.register.Merge(suspect.Case{Cause: cause, Ends: []suspect.ReplicaEnd{end}})
		c := s.register.Case(cause.Fingerprint)
		s.logChange(c, change)
		note.Parts = append(note.Parts, partMessage{Part: cause.Part, Finishes: newFinishMessages(c.Finishes, now)})
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
		var to []netip.AddrPort
		for _, o := range s.collectors(suspect.Cause{Kind: suspect.KindPart, Service: note.Service}) {
			if o.Name != s.self.Name {
				to = append(to, o.Peer)
			}
		}
		note.End = newEndMessage(end, boottime.Now())
		s.notifier.SendNote(to, NoteLostRun, note)
	})
}

// collects reports whether this node collects the evidence about the parts of a service.
func (s *Suspects) collects(service string) bool {
	return slices.ContainsFunc(s.collectors(suspect.Cause{Kind: suspect.KindPart, Service: service}), func(m control.Member) bool {
		return m.Name == s.self.Name
	})
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
	for _, p := range note.Parts[:min(len(note.Parts), maxParts)] {
		if p.Part == "" {
			continue
		}
		c := suspect.Case{Cause: suspect.PartCause(note.Service, p.Part), Ends: []suspect.ReplicaEnd{end}, Finishes: decodeFinishes(p.Finishes, now)}
		s.mergeReceived(c, true)
	}
	s.decide(note.Service)
}

// decide blocks the parts of a service that the evidence tells to end replicas, and tells all nodes.
func (s *Suspects) decide(service string) {
	for _, c := range s.register.Decide(service) {
		s.logChange(c, suspect.MergeResult{Before: suspect.Allowed, After: suspect.Blocked})
		s.broadcast(c)
	}
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
