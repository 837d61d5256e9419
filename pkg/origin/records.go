package origin

import (
	"crypto/sha256"
	"encoding/binary"
	"time"

	"github.com/drumpath/drumpath/pkg/locks"
)

// Origin is where a stream began.
type Origin struct {
	Service  string
	Software string // The version of the replica's software.
}

// keySize is the size of a Key in bytes. Telling keys is most of what a record costs.
const keySize = 10

// Key identifies a client's attempt. It is a hash, so that a client can't name the attempts of others.
type Key [keySize]byte

// KeyOf returns the key of an attempt by its organisation, the host and the target of its request, and
// the ID that the client gave it.
func KeyOf(organisation, host, target, attempt string) (k Key) {
	h := sha256.New()
	for _, text := range []string{organisation, host, target, attempt} {
		// The length keeps two texts from being taken for one; a hash can't fail.
		_ = binary.Write(h, binary.BigEndian, uint32(len(text)))
		_, _ = h.Write([]byte(text))
	}
	copy(k[:], h.Sum(nil))
	return k
}

// Record is the origin of the stream that an attempt brought the first event of.
type Record struct {
	Origin
	BegunAt time.Time // When that event was passed on.
	Until   time.Time // When the record is forgotten.
	// From is the node that sent the record, "" if it is this node's own.
	From string
	// Replica is the ID of the replica that wrote the event, "" in records of other nodes.
	Replica string
}

// Entry is a record with the attempt that it is of.
type Entry struct {
	Key
	Record
}

const (
	// maxRecords bounds the records that a node keeps, some 150 bytes each.
	maxRecords = 1 << 16
	// MaxLifetime bounds how long a record is kept.
	MaxLifetime = 5 * time.Minute
)

// Records holds the origins of streams that clients may take up again.
type Records struct {
	mu      locks.Mutex
	byKey   map[Key]*record
	evicted int64
}

type record struct {
	Record
	// sentTo is the generation of the holders that it was sent to, 0 for none.
	sentTo uint64
}

// NewRecords returns an empty Records.
func NewRecords() *Records { return &Records{byKey: map[Key]*record{}} }

// Add adds a record, unless its attempt has one.
func (r *Records) Add(k Key, rec Record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, known := r.byKey[k]; known || !rec.Until.After(rec.BegunAt) {
		return
	}
	if latest := rec.BegunAt.Add(MaxLifetime); rec.Until.After(latest) {
		rec.Until = latest
	}
	if len(r.byKey) >= maxRecords {
		r.evictAny()
	}
	r.byKey[k] = &record{Record: rec}
}

// evictAny removes some record; the caller holds mu.
func (r *Records) evictAny() {
	for k := range r.byKey {
		delete(r.byKey, k)
		r.evicted++
		return
	}
}

// Find returns the record of an attempt; ok is false if there is none.
func (r *Records) Find(k Key, now time.Time) (rec Record, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	found, ok := r.byKey[k]
	if !ok || !now.Before(found.Until) {
		return rec, false
	}
	return found.Record, true
}

// TakeUnsent returns up to limit of this node's own records that were not sent to the given generation of
// holders, of the services that wanted reports, and counts them as sent. wanted is called with mu held.
func (r *Records) TakeUnsent(generation uint64, limit int, wanted func(service string) bool, now time.Time) (list []Entry) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for k, rec := range r.byKey {
		if rec.From != "" || rec.sentTo == generation || !now.Before(rec.Until) || !wanted(rec.Service) {
			continue
		}
		rec.sentTo = generation
		if list = append(list, Entry{Key: k, Record: rec.Record}); len(list) == limit {
			break
		}
	}
	return list
}

// Void removes the records of what a replica wrote since a time, and returns their keys.
func (r *Records) Void(replica string, since time.Time) (list []Key) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for k, rec := range r.byKey {
		if rec.Replica == replica && rec.BegunAt.After(since) {
			delete(r.byKey, k)
			list = append(list, k)
		}
	}
	return list
}

// Remove removes a record.
func (r *Records) Remove(k Key) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.byKey, k)
}

// All returns all records.
func (r *Records) All(now time.Time) (list []Entry) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for k, rec := range r.byKey {
		if now.Before(rec.Until) {
			list = append(list, Entry{Key: k, Record: rec.Record})
		}
	}
	return list
}

// Forget removes the records whose time is over.
func (r *Records) Forget(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for k, rec := range r.byKey {
		if !now.Before(rec.Until) {
			delete(r.byKey, k)
		}
	}
}

// Count returns the numbers of this node's own records and of those of others that it holds, and how
// many were removed for want of room.
func (r *Records) Count() (own, held int, evicted int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, rec := range r.byKey {
		if rec.From == "" {
			own++
		} else {
			held++
		}
	}
	return own, held, r.evicted
}
