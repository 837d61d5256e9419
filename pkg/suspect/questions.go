package suspect

import (
	"cmp"
	"slices"
	"time"
)

const (
	// AnswerTime is how long the answers of nodes take that were asked for finishes of a part.
	AnswerTime = 100 * time.Millisecond
	// answerTerm is how long their answers are valid.
	answerTerm = 2 * time.Second
	// askShare is the share of the score from which a part is blocked at which nodes are asked.
	askShare = 0.7
)

// answered reports whether nodes have been asked for the finishes of a part and have had time to answer.
func (e *entry) answered(now time.Time) bool {
	asked := now.Sub(e.askedAt)
	return asked >= AnswerTime && asked < answerTerm
}

// unasked returns the parts of a service that may soon be blocked and whose finishes nodes have not been asked for.
func (r *Register) unasked(service string, now time.Time) (list []*entry) {
	for _, e := range r.entries {
		if !e.isOpenPart(service) || !e.mayReach(askShare*blockScore) || now.Sub(e.askedAt) < answerTerm/2 {
			continue
		}
		if s := r.openScore(e); s >= askShare*blockScore && s >= askShare*r.threshold(e) {
			list = append(list, e)
		}
	}
	return list
}

// TakeUnasked returns the parts of a service for which nodes have to be asked, and marks them as asked.
func (r *Register) TakeUnasked(service string, limit int, now time.Time) (parts []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := r.unasked(service, now)
	slices.SortFunc(list, func(a, b *entry) int { return cmp.Compare(r.openScore(b), r.openScore(a)) })
	for _, e := range list[:min(len(list), limit)] {
		e.askedAt = now
		parts = append(parts, e.Part)
	}
	return parts
}

// MarkAsked records that nodes are asked for the finishes of a part, and returns those that this node remembers.
func (r *Register) MarkAsked(part Cause, now time.Time) []Finish {
	r.mu.Lock()
	defer r.mu.Unlock()
	if e := r.entries[part.Fingerprint]; e != nil {
		e.askedAt = now
	}
	return slices.Clone(r.finishes.of(part.QuickHash))
}
