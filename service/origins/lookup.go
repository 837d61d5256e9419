package origins

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"github.com/drumpath/drumpath/pkg/boottime"
	"github.com/drumpath/drumpath/pkg/origin"
)

const (
	// lookupTimeout is how long other nodes are given to answer, lookupResend after how long they are
	// asked again through other relays.
	lookupTimeout = 200 * time.Millisecond
	lookupResend  = 60 * time.Millisecond
	// maxLookups bounds the attempts that are looked for at the same time.
	maxLookups = 1024
	// maxLookupsReceived is how many lookups per second reach a node if all others look for attempts
	// all the time: each collects its own for as long as that takes.
	maxLookupsReceived = 5000
)

// lookups are the attempts that other nodes are asked for.
type lookups struct {
	pending   map[origin.Key]*lookup
	scheduled bool
	sentAt    time.Time
}

type lookup struct {
	done  chan struct{}
	found origin.Record // Valid once done is closed.
	sent  int           // How often other nodes were asked.
}

// lookupNote is the content of NoteLookup. Relay asks the receiver to forward it in its hall.
type lookupNote struct {
	Asker netip.AddrPort `json:"asker"`
	Keys  []byte         `json:"keys"` // From packKeys.
	Relay bool           `json:"relay,omitempty"`
}

// ask asks the other nodes for an attempt's record. asked is false if they could not be asked.
func (o *Origins) ask(ctx context.Context, k origin.Key) (rec origin.Record, found, asked bool) {
	if o.members.View().Counts().Working <= 1 {
		return rec, false, !o.alone()
	}
	l, ok := o.beginLookup(k)
	if !ok {
		return rec, false, false
	}
	timeout := time.NewTimer(lookupTimeout + o.lookupInterval())
	defer timeout.Stop()
	select {
	case <-l.done:
		return l.found, true, true
	case <-timeout.C:
	case <-ctx.Done():
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.lookups.pending[k] == l {
		delete(o.lookups.pending, k)
	}
	return rec, false, true
}

// beginLookup returns the lookup for an attempt, which may be under way for another client already; ok is
// false if there are too many.
func (o *Origins) beginLookup(k origin.Key) (l *lookup, ok bool) {
	interval := o.lookupInterval()
	o.mu.Lock()
	defer o.mu.Unlock()
	s := &o.lookups
	if l = s.pending[k]; l != nil {
		return l, true
	}
	if len(s.pending) >= maxLookups || o.ctx.Err() != nil {
		return nil, false
	}
	o.counts.asked.Add(1)
	l = &lookup{done: make(chan struct{})}
	s.pending[k] = l
	if !s.scheduled {
		s.scheduled = true
		time.AfterFunc(max(0, interval-boottime.Since(s.sentAt)), func() { o.sendLookups(0) })
	}
	return l, true
}

// lookupInterval is the least time between two lookups of this node.
func (o *Origins) lookupInterval() time.Duration {
	return time.Duration(o.members.View().Counts().Working) * time.Second / maxLookupsReceived
}

// sendLookups asks the other nodes for the attempts that they were asked for try times, and again for
// these after lookupResend.
func (o *Origins) sendLookups(try int) {
	o.mu.Lock()
	s := &o.lookups
	if try == 0 {
		s.scheduled, s.sentAt = false, boottime.Now()
	}
	var keys []origin.Key
	for k, l := range s.pending {
		if l.sent == try {
			keys = append(keys, k)
			l.sent++
		}
	}
	o.mu.Unlock()
	if len(keys) == 0 || o.ctx.Err() != nil {
		return
	}
	for part := range slices.Chunk(keys, maxKeysPerNote) {
		o.broadcast(try, NoteLookup, func(relay bool) any {
			return lookupNote{Asker: o.self.Peer, Keys: packKeys(part), Relay: relay}
		})
	}
	if try == 0 {
		time.AfterFunc(lookupResend, func() { o.sendLookups(1) })
	}
}

// HandleLookup handles NoteLookup: it answers with the records that this node has.
func (o *Origins) HandleLookup(note lookupNote) {
	if note.Relay {
		o.notifier.SendNote(o.notifier.HallPeers(), NoteLookup, lookupNote{Asker: note.Asker, Keys: note.Keys})
	}
	now := boottime.Now()
	var list []origin.Entry
	unpackKeys(note.Keys, func(k origin.Key) {
		if rec, ok := o.records.Find(k, now); ok && len(list) < maxRecordsPerNote {
			list = append(list, origin.Entry{Key: k, Record: rec})
		}
	})
	if len(list) > 0 {
		o.notifier.SendNote([]netip.AddrPort{note.Asker}, NoteRecords, recordsNote{From: o.self.Name, Sets: encodeRecords(list, now)})
	}
}

// endLookup ends the lookup of an attempt, if there is one.
func (o *Origins) endLookup(k origin.Key, rec origin.Record) {
	o.mu.Lock()
	defer o.mu.Unlock()
	l := o.lookups.pending[k]
	if l == nil {
		return
	}
	delete(o.lookups.pending, k)
	l.found = rec
	o.counts.found.Add(1)
	close(l.done)
}
