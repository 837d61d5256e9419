package main

import (
	"fmt"
	"net/http"
	"time"
)

const (
	greyEngines  = 2 // 0.14 of the 18 engines, rounded down.
	greyShare    = 0.4
	crashEngines = 4 // 0.25 of the 18 engines, rounded down.
	crashRounds  = 2
)

// playGrey has some engines fail a part of their requests with 404, and others crash under streams. It judges whether
// clients get bytes that are not an answer.
func playGrey(b *bed) (broken bool, err error) {
	replicas, err := b.startSheet()
	if err != nil {
		return false, err
	}
	for i, r := range replicas[:engineCount] {
		r.mu.Lock()
		r.eventPause = draftPause
		if b.trouble && i >= engineCount-greyEngines {
			r.failShare, r.failStatus = greyShare, http.StatusNotFound
		}
		r.mu.Unlock()
	}
	time.Sleep(2 * time.Second)
	draft := sheet()[1]
	draft.prompt = prompt("b", 40, 505, 119, 531, 177, draftEvents*tokensPerEvent)
	c := b.startClients(clientCount, []*kind{draft})
	time.Sleep(8 * time.Second)
	for round := range crashRounds {
		if b.trouble {
			for _, r := range replicas[round*crashEngines : (round+1)*crashEngines] {
				b.note("engine %s crashes", r.id)
				go r.crash()
			}
		}
		time.Sleep(7 * time.Second)
	}
	c.end()
	results, bad := map[string]int{}, 0
	for _, t := range c.all() {
		result := fmt.Sprintf("%d %s", t.status, t.failure)
		results[result]++
		if t.failure != "" && t.failure != "unexpected EOF" && t.status == http.StatusOK && !t.left {
			if bad++; bad <= 10 {
				b.note("stream %s sent to %s at %.3f s: after event %d, %d ms after it was sent: %s", t.id, t.node, t.sentAt.Sub(b.start).Seconds(), t.lastID, t.answered.Milliseconds(), t.failure)
			}
		}
	}
	b.note("results %v", results)
	b.note("RULE: %d streams with bytes that are not an answer", bad)
	b.noteTries(c.all())
	return bad > 0, nil
}
