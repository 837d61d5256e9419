package origins

import (
	"encoding/binary"
	"math"
	"net/netip"
	"slices"
	"time"

	"github.com/drumpath/drumpath/pkg/boottime"
	"github.com/drumpath/drumpath/pkg/control"
	"github.com/drumpath/drumpath/pkg/origin"
)

// Records are replicated to two nodes in other halls, the same ones for all streams of a node, so that one
// datagram carries many. A node that looks for a record asks all others, since it does not know
// where the stream began: streams begin far more often than they are taken up.
const (
	// NoteRecords carries records, NoteLookup asks for them.
	NoteRecords = "origins.records"
	NoteLookup  = "origins.lookup"

	// holderCount is how many nodes hold a record besides its own.
	holderCount = 2
	holderDuty  = "origins/"
	// sendDelay is how long records are collected before they are sent, maxSendDelay the same while more
	// would be sent than sendRate allows, in bytes a second; sendBurst may be sent at once.
	sendDelay    = 50 * time.Millisecond
	maxSendDelay = 500 * time.Millisecond
	sendRate     = 2500
	sendBurst    = time.Second // At sendRate.
	// maxRecordsPerNote and maxKeysPerNote keep a note within one packet of 1,500 bytes.
	maxRecordsPerNote = 48
	maxKeysPerNote    = 64
)

// replication is the state of sending records to their holders.
type replication struct {
	scheduled  bool
	holders    []control.Member
	generation uint64 // Raised with each change of the holders.
	view       *control.View
	// paidUntil is when what was sent so far is within sendRate.
	paidUntil time.Time
}

// recordsNote is the content of NoteRecords.
type recordsNote struct {
	From string           `json:"from"`
	Sets []encodedRecords `json:"sets,omitempty"`
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

// encodedRecords are records of one origin and age, in units of ageUnit: for each its key, and its remaining
// time in units of timeUnit.
type encodedRecords struct {
	Service  string `json:"s"`
	Software string `json:"v"`
	Age      uint16 `json:"a,omitempty"`
	Packed   []byte `json:"p"`
}

func (s *encodedRecords) sameSet(o *encodedRecords) bool {
	return s.Service == o.Service && s.Software == o.Software && s.Age == o.Age
}

const (
	timeUnit   = 100 * time.Millisecond
	ageUnit    = time.Second // So that the records of a note differ little in it.
	packedSize = len(origin.Key{}) + 2
)

// inUnits returns a time in units of a duration.
func inUnits(d, unit time.Duration) uint16 { return uint16(min(math.MaxUint16, max(0, d/unit))) }

func encodeRecords(list []origin.Entry, now time.Time) (sets []encodedRecords) {
	for _, e := range list {
		set := encodedRecords{Service: e.Service, Software: e.Software, Age: inUnits(now.Sub(e.BegunAt), ageUnit)}
		i := slices.IndexFunc(sets, func(s encodedRecords) bool { return s.sameSet(&set) })
		if i < 0 {
			sets, i = append(sets, set), len(sets)
		}
		b := append(sets[i].Packed, e.Key[:]...)
		sets[i].Packed = binary.BigEndian.AppendUint16(b, inUnits(e.Until.Sub(now), timeUnit))
	}
	return sets
}

// decode calls fn for each record.
func (s *encodedRecords) decode(from string, now time.Time, fn func(k origin.Key, rec origin.Record)) {
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

// replicates reports whether other nodes need records of a service: not while its streams can only have begun at
// one version of it, and that can be read from the store.
func (o *Origins) replicates(service string) bool {
	return o.severalVersions(service) || !o.versionsConfirmed(service) || o.fleet.SharesRoutes(service) || o.fleet.StoreSilent(boottime.Now())
}

func (o *Origins) replicatesAny() bool {
	return slices.ContainsFunc(o.fleet.Services(), o.replicates)
}

// replicateSoon has records sent after sendDelay, or later if too much was sent lately.
func (o *Origins) replicateSoon() {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.replication.scheduled || o.ctx.Err() != nil {
		return
	}
	o.replication.scheduled = true
	delay := min(maxSendDelay, max(sendDelay, boottime.Until(o.replication.paidUntil)))
	time.AfterFunc(delay, func() {
		o.mu.Lock()
		o.replication.scheduled = false
		o.mu.Unlock()
		if o.ctx.Err() == nil {
			o.replicate()
		}
	})
}

// replicate sends this node's records that the holders lack.
func (o *Origins) replicate() {
	holders, generation := o.holders()
	if len(holders) == 0 {
		return
	}
	for {
		now := boottime.Now()
		list := o.records.TakeUnsent(generation, maxRecordsPerNote, o.replicates, now)
		if len(list) == 0 {
			return
		}
		o.sendRecords(holders, list, now)
	}
}

func (o *Origins) sendRecords(to []netip.AddrPort, list []origin.Entry, now time.Time) {
	sent := o.notifier.SendNote(to, NoteRecords, recordsNote{From: o.self.Name, Sets: encodeRecords(list, now)})
	o.counts.sentRecords.Add(int64(len(list)))
	o.counts.sentBytes.Add(int64(sent))
	o.mu.Lock()
	defer o.mu.Unlock()
	paid := o.replication.paidUntil
	if earliest := now.Add(-sendBurst); paid.Before(earliest) {
		paid = earliest
	}
	o.replication.paidUntil = paid.Add(time.Duration(sent) * time.Second / sendRate)
}

// holders returns the nodes that this node's records are sent to, in other halls if there are any, and the
// generation of that choice.
func (o *Origins) holders() (addrs []netip.AddrPort, generation uint64) {
	view := o.members.View()
	o.mu.Lock()
	defer o.mu.Unlock()
	t := &o.replication
	if t.view != view {
		t.view = view
		if next := o.chooseHolders(view); !slices.EqualFunc(next, t.holders, sameStart) {
			t.holders = next
			t.generation++
		}
	}
	for _, m := range t.holders {
		addrs = append(addrs, m.Peer)
	}
	return addrs, t.generation
}

// sameStart reports whether two members are the same start of a node; a restarted one has no records.
func sameStart(a, b control.Member) bool {
	return a.Name == b.Name && a.Peer == b.Peer && a.Incarnation == b.Incarnation
}

func (o *Origins) chooseHolders(view *control.View) (list []control.Member) {
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
	duty := holderDuty + o.self.Name
	for len(list) < holderCount && len(elsewhere) > 0 {
		m, _ := control.Owner(elsewhere, duty)
		list = append(list, m)
		others := slices.DeleteFunc(slices.Clone(elsewhere), func(x control.Member) bool { return x.DataHall == m.DataHall })
		if len(others) == 0 { // There are only two halls.
			others = slices.DeleteFunc(elsewhere, func(x control.Member) bool { return x.Name == m.Name })
		}
		elsewhere = others
	}
	return append(list, control.Owners(here, duty, holderCount-len(list))...)
}

// HandOver sends all records that this node has to their holders, as it stops.
func (o *Origins) HandOver() {
	now := boottime.Now()
	holders, _ := o.holders()
	if len(holders) == 0 {
		return
	}
	all := o.records.All(now)
	for part := range slices.Chunk(all, maxRecordsPerNote) {
		o.sendRecords(holders, part, now)
	}
}

// HandleRecords handles NoteRecords: records of another node, or the answer to a lookup.
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

// broadcast sends a note to all other nodes, directly or through a relay in each large hall.
func (o *Origins) broadcast(try int, method string, note func(relay bool) any) {
	direct, relays := o.notifier.Recipients(try)
	o.notifier.SendNote(direct, method, note(false))
	o.notifier.SendNote(relays, method, note(true))
}
