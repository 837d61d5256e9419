package route

import (
	"cmp"
	"encoding/binary"
	"maps"
	"slices"
	"strconv"

	"github.com/drumpath/drumpath/pkg/history"
	"github.com/drumpath/drumpath/pkg/site"
)

// SharingPeriod is a period over which organisations share KV cache. No organisation that shares in it is isolated at any
// time of it.
type SharingPeriod struct {
	// Era is that of the store, and Config the configuration, with which the period began.
	Era    history.Era `json:"e,omitempty"`
	Config int64       `json:"c"`
}

// Compare orders periods by when they began, like cmp.Compare.
func (p SharingPeriod) Compare(q SharingPeriod) int {
	return cmp.Or(cmp.Compare(p.Era, q.Era), cmp.Compare(p.Config, q.Config))
}

// String returns the period as "era.configuration".
func (p SharingPeriod) String() string {
	return strconv.FormatInt(int64(p.Era), 10) + "." + strconv.FormatInt(p.Config, 10)
}

// Sharing tells in which period the organisations share that are not isolated in a configuration. It stays true, whatever
// is configured later.
type Sharing struct {
	Config int64         `json:"v"`
	Period SharingPeriod `json:"p"`
}

// SharingHistory lists what is known of the newest configurations, oldest first. It is never changed, so it may be read
// without a lock.
type SharingHistory []Sharing

// maxSharingHistory is how many configurations are kept: nodes put one in force a little later than others.
const maxSharingHistory = 8

// Find returns the period of a configuration.
func (h SharingHistory) Find(config int64) (p SharingPeriod, ok bool) {
	i, ok := h.index(config)
	if ok {
		p = h[i].Period
	}
	return p, ok
}

func (h SharingHistory) index(config int64) (i int, ok bool) {
	return slices.BinarySearchFunc(h, config, func(s Sharing, config int64) int { return cmp.Compare(s.Config, config) })
}

// Newest returns what is known of the newest configuration, zero for none.
func (h SharingHistory) Newest() (s Sharing) {
	if len(h) > 0 {
		s = h[len(h)-1]
	}
	return s
}

// With returns the history with what another source knows; changed is false if that adds nothing. A configuration has two
// periods only if the store has lost one of them, and then the later one holds.
func (h SharingHistory) With(s Sharing) (next SharingHistory, changed bool) {
	i, known := h.index(s.Config)
	if known && s.Period.Compare(h[i].Period) <= 0 || !known && i == 0 && len(h) == maxSharingHistory {
		return h, false
	}
	next = slices.Clone(h)
	if known {
		next[i] = s
	} else {
		next = slices.Insert(next, i, s)
	}
	return next[max(0, len(next)-maxSharingHistory):], true
}

// SharingRecord is the record that nodes keep in the platform's store of the newest period. An organisation shares under a
// configuration only once that is recorded, so the record lacks nobody.
type SharingRecord struct {
	Sharing
	// Era is the one in which the record was written. A copy of the store may lack what an earlier era had.
	Era history.Era `json:"e,omitempty"`
	// Shared are the organisations that may have shared in the period, and Isolated those that were isolated in it.
	Shared   nameSet `json:"s,omitempty"`
	Isolated nameSet `json:"i,omitempty"`
	// Unlisted is set instead if they are too many.
	Unlisted bool `json:"u,omitempty"`
}

// maxRecordedNames bounds the record, which as JSON must fit a row of 64 KiB.
const maxRecordedNames = 10_000

// Next returns the record as of a configuration; changed is false if it has that or a newer one. A new period begins if an
// organisation is isolated that has shared in the last one, or the other way round.
func (r *SharingRecord) Next(s *site.Snapshot, era history.Era) (next SharingRecord, changed bool) {
	if s.Version <= r.Config {
		return *r, false
	}
	next = SharingRecord{Sharing: Sharing{Config: s.Version, Period: r.Period}, Era: era}
	shared, isolated := r.Shared.hashes(), r.Isolated.hashes()
	if r.Config == 0 || r.Era != era || r.Unlisted || contradicts(s, shared, isolated) {
		next.Period = SharingPeriod{Era: era, Config: s.Version}
		clear(shared)
		clear(isolated)
	}
	for name, isIsolated := range s.Isolation() {
		if isIsolated {
			isolated[HashName(name)] = true
		} else {
			shared[HashName(name)] = true
		}
	}
	if next.Unlisted = len(shared)+len(isolated) > maxRecordedNames; !next.Unlisted {
		next.Shared, next.Isolated = packNames(shared), packNames(isolated)
	}
	return next, true
}

// contradicts reports whether a configuration isolates an organisation that has shared, or the other way round.
func contradicts(s *site.Snapshot, shared, isolated map[NameHash]bool) bool {
	for name, isIsolated := range s.Isolation() {
		if h := HashName(name); isIsolated && shared[h] || !isIsolated && isolated[h] {
			return true
		}
	}
	return false
}

// nameSet is a set of hashes of names, sorted and packed. Two names with the same hash at most begin a period
// without need.
type nameSet []byte

const nameHashBytes = 4

func (n nameSet) hashes() map[NameHash]bool {
	set := make(map[NameHash]bool, len(n)/nameHashBytes)
	for ; len(n) >= nameHashBytes; n = n[nameHashBytes:] {
		set[NameHash(binary.BigEndian.Uint32(n))] = true
	}
	return set
}

func packNames(set map[NameHash]bool) nameSet {
	n := make(nameSet, 0, nameHashBytes*len(set))
	for _, h := range slices.Sorted(maps.Keys(set)) {
		n = binary.BigEndian.AppendUint32(n, uint32(h))
	}
	return n
}
