package origins

import (
	"context"
	"encoding/binary"
	"math"
	"net/netip"
	"slices"
	"time"

	"github.com/drumpath/drumpath/pkg/boottime"
	"github.com/drumpath/drumpath/pkg/control"
	"github.com/drumpath/drumpath/pkg/origin"
)

// Records are told to two nodes in other halls, the same ones for all streams of a node, so that one
// datagram carries many. A node that looks for a record asks all others, since it does not know
// where the stream began: streams begin far more often than they are taken up.
const (
	// NoteRecords carries records, NoteLookup asks for them.
	NoteRecords = "origins.records"
	NoteLookup  = "origins.lookup"

	// buddyCount is how many nodes a record is told to.
	buddyCount = 2
	buddyDuty  = "origins/"
	// tellDelay is how long records are collected before they are told, maxTellDelay the same while more
	// would be sent than tellRate allows, in bytes a second; tellBurst may be sent at once.
	tellDelay    = 50 * time.Millisecond
	maxTellDelay = 500 * time.Millisecond
	tellRate     = 2500
	tellBurst    = time.Second // At tellRate.
	// maxRecordsPerNote and maxKeysPerNote keep a note within one packet of 1,500 bytes.
	maxRecordsPerNote = 48
	maxKeysPerNote    = 64
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

// telling is the state of telling records.
type telling struct {
	scheduled  bool
	buddies    []control.Member
	generation uint64 // Raised with each change of the buddies.
	view       *control.View
	// paidUntil is when what was sent so far is within tellRate.
	paidUntil time.Time
}

// recordsNote is the content of NoteRecords.
type recordsNote struct {
	From string         `json:"from"`
	Sets []encodedTells `json:"sets,omitempty"`
	// Voided are the keys of records that do not hold.
	Voided []byte `json:"voided,omitempty"`
}

// packKeys writes keys one after the other, unpackKeys calls fn for each.
func packKeys(keys []origin.Key) (packed []byte) {
	for _, k := range keys {
		packed = append(packed, k[:]...)
	}
	return packed
}

func unpackKeys(packed []byte, fn func(k origin.Key)) {
	for b := packed; len(b) >= len(origin.Key{}); b = b[len(origin.Key{}):] {
		fn(origin.Key(b[:len(origin.Key{})]))
	}
}

// encodedTells are records of one origin and age, in units of ageUnit: for each its key, and its remaining
// time in units of timeUnit.
type encodedTells struct {
	Service  string `json:"s"`
	Software string `json:"v"`
	Age      uint16 `json:"a,omitempty"`
	Packed   []byte `json:"p"`
}

func (s *encodedTells) sameSet(o *encodedTells) bool {
	return s.Service == o.Service && s.Software == o.Software && s.Age == o.Age
}

const (
	timeUnit   = 100 * time.Millisecond
	ageUnit    = time.Second // So that the records of a note differ little in it.
	packedSize = len(origin.Key{}) + 2
)

// inUnits returns a time in units of a duration.
func inUnits(d, unit time.Duration) uint16 { return uint16(min(math.MaxUint16, max(0, d/unit))) }

func encodeTells(list []origin.Told, now time.Time) (sets []encodedTells) {
	for _, t := range list {
		set := encodedTells{Service: t.Service, Software: t.Software, Age: inUnits(now.Sub(t.BegunAt), ageUnit)}
		i := slices.IndexFunc(sets, func(s encodedTells) bool { return s.sameSet(&set) })
		if i < 0 {
			sets, i = append(sets, set), len(sets)
		}
		b := append(sets[i].Packed, t.Key[:]...)
		sets[i].Packed = binary.BigEndian.AppendUint16(b, inUnits(t.Until.Sub(now), timeUnit))
	}
	return sets
}

// decode calls fn for each record.
func (s *encodedTells) decode(from string, now time.Time, fn func(k origin.Key, rec origin.Record)) {
	for b := s.Packed; len(b) >= packedSize; b = b[packedSize:] {
		var k origin.Key
		n := copy(k[:], b)
		left := binary.BigEndian.Uint16(b[n:])
		fn(k, origin.Record{
			Origin:  origin.Origin{Service: s.Service, Software: s.Software},
			BegunAt: now.Add(-time.Duration(s.Age) * ageUnit),
			Until:   now.Add(time.Duration(left) * timeUnit),
			From:    from,
		})
	}
}

// tells reports whether other nodes need records of a service: not while its streams can only have begun at
// one version of it, and that can be read from the store.
func (o *Origins) tells(service string) bool {
	return o.severalVersions(service) || o.fleet.SharesRoutes(service) || o.fleet.StoreSilent(boottime.Now())
}

func (o *Origins) tellsAny() bool {
	return slices.ContainsFunc(o.fleet.Services(), o.tells)
}

// tellSoon has records told after tellDelay, or later if too much was sent lately.
func (o *Origins) tellSoon() {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.telling.scheduled || o.ctx.Err() != nil {
		return
	}
	o.telling.scheduled = true
	delay := min(maxTellDelay, max(tellDelay, boottime.Until(o.telling.paidUntil)))
	time.AfterFunc(delay, func() {
		o.mu.Lock()
		o.telling.scheduled = false
		o.mu.Unlock()
		if o.ctx.Err() == nil {
			o.tell(o.tells)
		}
	})
}

// tell sends this node's records that the buddies lack.
func (o *Origins) tell(wanted func(service string) bool) {
	buddies, generation := o.buddies()
	if len(buddies) == 0 {
		return
	}
	for {
		now := boottime.Now()
		list := o.records.TakeUntold(generation, maxRecordsPerNote, wanted, now)
		if len(list) == 0 {
			return
		}
		o.sendRecords(buddies, list, now)
	}
}

func (o *Origins) sendRecords(to []netip.AddrPort, list []origin.Told, now time.Time) {
	sent := o.notifier.SendNote(to, NoteRecords, recordsNote{From: o.self.Name, Sets: encodeTells(list, now)})
	o.counts.toldRecords.Add(int64(len(list)))
	o.counts.toldBytes.Add(int64(sent))
	o.mu.Lock()
	defer o.mu.Unlock()
	paid := o.telling.paidUntil
	if earliest := now.Add(-tellBurst); paid.Before(earliest) {
		paid = earliest
	}
	o.telling.paidUntil = paid.Add(time.Duration(sent) * time.Second / tellRate)
}

// buddies returns the nodes that are told this node's records, in other halls if there are any, and the
// generation of that choice.
func (o *Origins) buddies() (addrs []netip.AddrPort, generation uint64) {
	view := o.members.View()
	o.mu.Lock()
	defer o.mu.Unlock()
	t := &o.telling
	if t.view != view {
		t.view = view
		if next := o.chooseBuddies(view); !slices.EqualFunc(next, t.buddies, sameStart) {
			t.buddies = next
			t.generation++
		}
	}
	for _, m := range t.buddies {
		addrs = append(addrs, m.Peer)
	}
	return addrs, t.generation
}

// sameStart reports whether two members are the same start of a node; a restarted one has no records.
func sameStart(a, b control.Member) bool {
	return a.Name == b.Name && a.Peer == b.Peer && a.Incarnation == b.Incarnation
}

func (o *Origins) chooseBuddies(view *control.View) (list []control.Member) {
	var elsewhere, here []control.Member
	for _, m := range view.Alive() {
		switch {
		case m.Name == o.self.Name:
		case m.DataHall == o.self.DataHall:
			here = append(here, m)
		default:
			elsewhere = append(elsewhere, m)
		}
	}
	duty := buddyDuty + o.self.Name
	for len(list) < buddyCount && len(elsewhere) > 0 {
		m, _ := control.Owner(elsewhere, duty)
		list = append(list, m)
		others := slices.DeleteFunc(slices.Clone(elsewhere), func(x control.Member) bool { return x.DataHall == m.DataHall })
		if len(others) == 0 { // There are only two halls.
			others = slices.DeleteFunc(elsewhere, func(x control.Member) bool { return x.Name == m.Name })
		}
		elsewhere = others
	}
	return append(list, control.Owners(here, duty, buddyCount-len(list))...)
}

// HandOver tells all records that this node has to others, as it stops.
func (o *Origins) HandOver() {
	now := boottime.Now()
	buddies, _ := o.buddies()
	if len(buddies) == 0 {
		return
	}
	all := o.records.All(now)
	for part := range slices.Chunk(all, maxRecordsPerNote) {
		o.sendRecords(buddies, part, now)
	}
}

// HandleRecords handles NoteRecords: records that a buddy or an answer to a lookup tells.
func (o *Origins) HandleRecords(note recordsNote) {
	now := boottime.Now()
	unpackKeys(note.Voided, o.records.Remove)
	for i := range note.Sets {
		note.Sets[i].decode(note.From, now, func(k origin.Key, rec origin.Record) {
			o.records.Add(k, rec)
			o.endLookup(k, rec)
		})
	}
}

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
	var list []origin.Told
	unpackKeys(note.Keys, func(k origin.Key) {
		if rec, ok := o.records.Find(k, now); ok && len(list) < maxRecordsPerNote {
			list = append(list, origin.Told{Key: k, Record: rec})
		}
	})
	if len(list) > 0 {
		o.notifier.SendNote([]netip.AddrPort{note.Asker}, NoteRecords, recordsNote{From: o.self.Name, Sets: encodeTells(list, now)})
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

// broadcast sends a note to all other nodes, directly or through a relay in each large hall.
func (o *Origins) broadcast(try int, method string, note func(relay bool) any) {
	direct, relays := o.notifier.Recipients(try)
	o.notifier.SendNote(direct, method, note(false))
	o.notifier.SendNote(relays, method, note(true))
}
