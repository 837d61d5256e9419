package main

import (
	"net/http"
	"time"
)

const (
	draftEvents    = 50
	draftPause     = 100 * time.Millisecond // A third of the allowed one.
	draftsPerS     = 20.0
	leavingEngines = 2 // 0.13 of the 18 engines.
	// servesOn is the drain_ms of the sheet, and a little longer.
	servesOn = 2300 * time.Millisecond
)

// playDrain has two engines leave as planned while their streams, which end with their connections, are under way. It
// judges whether streams are passed on as complete ahead of their last event.
func playDrain(b *bed) (broken bool, err error) {
	replicas, err := b.startSheet()
	if err != nil {
		return false, err
	}
	for _, r := range replicas[:engineCount] {
		r.mu.Lock()
		r.unframed, r.eventPause = true, draftPause
		r.mu.Unlock()
	}
	time.Sleep(2 * time.Second)
	draft := sheet()[1]
	draft.perS, draft.prompt = draftsPerS, prompt("b", 40, 505, 119, 531, 177, draftEvents*tokensPerEvent)
	draft.method = http.MethodPost
	c := b.startClients(clientCount, []*kind{draft})
	time.Sleep(8 * time.Second)
	if b.trouble {
		for _, r := range replicas[:leavingEngines] {
			b.note("engine %s says that it drains, serves on for %s and ends", r.id, servesOn)
			go r.drain(servesOn)
		}
	}
	time.Sleep(10 * time.Second)
	c.end()
	whole, short, cut, other := 0, 0, 0, 0
	for _, t := range c.all() {
		switch {
		case t.whole && t.status == http.StatusOK && t.lastID < draftEvents:
			if short++; short <= 10 {
				b.note("stream %s sent to %s at %.3f s: ended as complete after event %d of %d, %d ms after it was sent", t.id, t.node, t.sentAt.Sub(b.start).Seconds(), t.lastID, draftEvents, t.answered.Milliseconds())
			}
		case t.whole && t.status == http.StatusOK:
			whole++
		case t.closed:
			cut++
		default:
			other++
		}
	}
	b.note("RULE: %d streams complete, %d ended as complete ahead of their last event, %d cut, %d others", whole, short, cut, other)
	b.noteTries(c.all())
	return short > 0, nil
}
