package gateway

import (
	"cmp"
	"slices"
	"time"

	"github.com/drumpath/drumpath/pkg/boottime"
	"github.com/drumpath/drumpath/pkg/site"
)

// readTable is what a node that reads a table has of it.
type readTable struct {
	rows    map[string]site.Row // Dropped rows included.
	base    int64               // Changes since here are known.
	version int64
	heard   time.Time // When the store itself was last heard.
	changed chan struct{}
	former  map[string]formerValues // Of large values, by key.
	told    map[toldKey]toldRows    // Of the rows as they are.
	// asking is closed when this node's own call to the store ends, nil without one;
	// askedAt is when that was begun.
	asking  chan struct{}
	askedAt time.Time
	refused time.Time // When this node's own call last failed.
}

// age is how old the knowledge of a table is, and until when that is to be trusted for
// at most some age. While a large answer to this node's own call is coming in, it is as
// old as it was when the call began: the answer is waited for, and a hall is not sent
// to read the store once more over links that are as narrow.
func (x *readTable) age(now, large time.Time, oldest time.Duration) (age time.Duration, until time.Time) {
	if end := large.Add(receiveMost); x.asking != nil && large.After(x.askedAt) && now.Before(end) {
		if age = x.askedAt.Sub(x.heard); age <= oldest {
			return age, end
		}
	}
	return now.Sub(x.heard), x.heard.Add(oldest)
}

// tableAt returns what is known of a table; the caller holds mu.
func (r *readers) tableAt(t site.Table) *readTable {
	x := r.tables[t]
	if x == nil {
		x = &readTable{changed: make(chan struct{}), former: map[string]formerValues{}}
		r.tables[t] = x
	}
	return x
}

// take notes an answer for those that ask this node, whoever gave it: with changes
// left out that came from others, what it tells on would have gaps. own says that
// the store itself has answered.
func (r *readers) take(q changesRequest, l site.Listing, own bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	x := r.tableAt(q.Table)
	old := x.rows
	switch {
	case q.Whole && l.Version < x.version:
		// The store is behind what it has told before. Taken in, its older rows
		// would hide newer ones from nodes that ask for changes since then.
		return
	case q.Whole:
		x.rows, x.base = map[string]site.Row{}, l.Version
	case q.After > x.version:
		x.rows = nil // What lies between was never heard.
	}
	if own {
		x.heard = boottime.Now()
	}
	if x.rows == nil {
		return
	}
	for _, row := range l.Rows {
		was := old[row.Key]
		if was.Version > row.Version {
			row = was // Another answer has overtaken this one.
		}
		if len(was.Value) >= baseLeast && was.Version < row.Version {
			x.former[row.Key] = x.former[row.Key].add(was)
		}
		x.rows[row.Key] = row
	}
	since := x.version
	x.version = max(x.version, l.Version)
	if len(l.Rows) > 0 || q.Whole {
		x.told = nil
		if own && !q.Whole {
			r.packAhead(x, since, l.Rows)
		}
		close(x.changed)
		x.changed = make(chan struct{})
	}
}

// packAhead packs what nodes that are up to date are about to be told: some 13 ms for
// 5,600 routes, which else come behind the time for which their calls are held.
func (r *readers) packAhead(x *readTable, since int64, rows []site.Row) {
	for _, row := range rows {
		if former := x.former[row.Key]; len(former) > 0 && len(row.Value) >= baseLeast {
			q := changesRequest{After: since, Have: rowRef{Key: row.Key, Version: former[0].Version}}
			if _, err := x.tell(q); err != nil {
				r.log.Error("row not encoded for peers", "row", row.Key, "version", row.Version, "err", err)
			}
		}
	}
}

// tell packs the rows that a request asks for. Nodes that ask for the same are told
// the same bytes, packed once: 20 nodes are told in the time of one.
func (x *readTable) tell(q changesRequest) (t toldRows, err error) {
	var rows []site.Row
	key := toldKey{whole: q.Whole}
	for _, row := range x.rows {
		if q.Whole && !row.Gone || !q.Whole && row.Version > q.After {
			rows = append(rows, row)
		}
	}
	if len(rows) == 0 {
		return t, nil
	}
	slices.SortFunc(rows, func(p, q site.Row) int { return cmp.Compare(p.Version, q.Version) })
	key.first = rows[0].Version
	var base []byte
	if slices.ContainsFunc(rows, func(row site.Row) bool { return row.Key == q.Have.Key }) {
		if base = x.baseOf(q.Have); base != nil {
			key.base = q.Have
		}
	}
	if t, ok := x.told[key]; ok {
		return t, nil
	}
	if t, err = packRows(rows, q.Have, base); err != nil {
		return t, err
	}
	if x.told == nil || len(x.told) >= toldKept {
		x.told = map[toldKey]toldRows{}
	}
	x.told[key] = t
	return t, nil
}

// baseOf is the value that a node has by its own word, nil if it is not known here.
func (x *readTable) baseOf(have rowRef) []byte {
	if row := x.rows[have.Key]; row.Version == have.Version && !row.Gone {
		return row.Value
	}
	return x.former[have.Key].find(have.Version)
}
