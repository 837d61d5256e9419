package gateway

import (
	"cmp"
	"slices"
	"time"

	"github.com/drumpath/drumpath/pkg/boottime"
	"github.com/drumpath/drumpath/pkg/site"
)

// cachedTable is what a node that reads a table has of it.
type cachedTable struct {
	rows         map[string]site.Row // Dropped rows included.
	historyStart int64               // Changes since here are known.
	version      int64
	storeReadAt  time.Time // When the store itself was last heard.
	changed      chan struct{}
	former       map[string]formerValues  // Of large values, by key.
	packed       map[packedKey]packedRows // Of the rows as they are.
	// storeCall is closed when this node's own call to the store ends, nil without one;
	// askedAt is when that was begun.
	storeCall     chan struct{}
	storeCallAt   time.Time
	storeFailedAt time.Time // When this node's own call last failed.
}

// age is how old the knowledge of a table is, and until when that is to be trusted for
// at most some age. While a large answer to this node's own call is coming in, it is as
// old as it was when the call began: the answer is waited for, and a hall is not sent
// to read the store once more over links that are as narrow.
func (x *cachedTable) age(now, lastLarge time.Time, maxAge time.Duration) (age time.Duration, trustedUntil time.Time) {
	if end := lastLarge.Add(maxReceiveTime); x.storeCall != nil && lastLarge.After(x.storeCallAt) && now.Before(end) {
		if age = x.storeCallAt.Sub(x.storeReadAt); age <= maxAge {
			return age, end
		}
	}
	return now.Sub(x.storeReadAt), x.storeReadAt.Add(maxAge)
}

// table returns what is known of a table; the caller holds mu.
func (r *sharedReader) table(t site.Table) *cachedTable {
	x := r.tables[t]
	if x == nil {
		x = &cachedTable{changed: make(chan struct{}), former: map[string]formerValues{}}
		r.tables[t] = x
	}
	return x
}

// apply notes an answer for those that ask this node, whoever gave it: with changes
// left out that came from others, what it tells on would have gaps. own says that
// the store itself has answered.
func (r *sharedReader) apply(q changesRequest, l site.Listing, fromStore bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	x := r.table(q.Table)
	old := x.rows
	switch {
	case q.Whole && l.Version < x.version:
		// The store is behind what it has told before. Taken in, its older rows
		// would hide newer ones from nodes that ask for changes since then.
		return
	case q.Whole:
		x.rows, x.historyStart = map[string]site.Row{}, l.Version
	case q.After > x.version:
		x.rows = nil // What lies between was never heard.
	}
	if fromStore {
		x.storeReadAt = boottime.Now()
	}
	if x.rows == nil {
		return
	}
	for _, row := range l.Rows {
		former := old[row.Key]
		if former.Version > row.Version {
			row = former // Another answer has overtaken this one.
		}
		if len(former.Value) >= minBaseSize && former.Version < row.Version {
			x.former[row.Key] = x.former[row.Key].add(former)
		}
		x.rows[row.Key] = row
	}
	since := x.version
	x.version = max(x.version, l.Version)
	if len(l.Rows) > 0 || q.Whole {
		x.packed = nil
		if fromStore && !q.Whole {
			r.packForPeers(x, since, l.Rows)
		}
		close(x.changed)
		x.changed = make(chan struct{})
	}
}

// packForPeers packs what nodes that are up to date are about to be told: some 13 ms for
// 5,600 routes, which else come behind the time for which their calls are held.
func (r *sharedReader) packForPeers(x *cachedTable, since int64, rows []site.Row) {
	for _, row := range rows {
		if former := x.former[row.Key]; len(former) > 0 && len(row.Value) >= minBaseSize {
			q := changesRequest{After: since, HaveRef: rowRef{Key: row.Key, Version: former[0].Version}}
			if _, err := x.packFor(q); err != nil {
				r.log.Error("row not encoded for peers", "row", row.Key, "version", row.Version, "err", err)
			}
		}
	}
}

// tell packs the rows that a request asks for. Nodes that ask for the same are told
// the same bytes, packed once: 20 nodes are told in the time of one.
func (x *cachedTable) packFor(q changesRequest) (p packedRows, err error) {
	var rows []site.Row
	key := packedKey{whole: q.Whole}
	for _, row := range x.rows {
		if q.Whole && !row.Gone || !q.Whole && row.Version > q.After {
			rows = append(rows, row)
		}
	}
	if len(rows) == 0 {
		return p, nil
	}
	slices.SortFunc(rows, func(p, q site.Row) int { return cmp.Compare(p.Version, q.Version) })
	key.first = rows[0].Version
	var base []byte
	if slices.ContainsFunc(rows, func(row site.Row) bool { return row.Key == q.HaveRef.Key }) {
		if base = x.baseValue(q.HaveRef); base != nil {
			key.base = q.HaveRef
		}
	}
	if p, ok := x.packed[key]; ok {
		return p, nil
	}
	if p, err = packRows(rows, q.HaveRef, base); err != nil {
		return p, err
	}
	if x.packed == nil || len(x.packed) >= maxPackedAnswers {
		x.packed = map[packedKey]packedRows{}
	}
	x.packed[key] = p
	return p, nil
}

// baseValue is the value that a node has by its own word, nil if it is not known here.
func (x *cachedTable) baseValue(ref rowRef) []byte {
	if row := x.rows[ref.Key]; row.Version == ref.Version && !row.Gone {
		return row.Value
	}
	return x.former[ref.Key].find(ref.Version)
}
