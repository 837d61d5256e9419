package tables

import (
	"bytes"
	"cmp"
	"slices"
	"sort"
	"time"

	"github.com/drumpath/drumpath/pkg/boottime"
	"github.com/drumpath/drumpath/pkg/history"
	"github.com/drumpath/drumpath/pkg/site"
)

// cachedTable is a node's copy of a table of the platform's store.
type cachedTable struct {
	rows         map[string]site.Row    // Includes deleted rows.
	changes      changeOrder            // Finds the rows changed since a position.
	carried      map[string]bool        // Keys of rows with newer contents than the store's.
	large        map[string]valueDigest // Digests of the rows whose values serve as bases.
	historyStart history.Position       // The changes since this position are known.
	position     history.Position
	storeReadAt  time.Time // When the store itself last answered.
	knownAt      time.Time // As of when its last answer is known to be.
	heardAt      time.Time // When it last answered the node that the copy was last read through.
	changed      chan struct{}
	former       map[string]formerValues  // Earlier large values, by row key.
	packed       map[packedKey]packedRows // Packed answers for the current rows.
	// storeCall is closed when this node's own call to the store ends, nil if there is none;
	// storeCallAt is when it began.
	storeCall     chan struct{}
	storeCallAt   time.Time
	refresh       chan struct{} // storeCall if that is a call on behalf of peers.
	storeFailedAt time.Time     // When this node's own call to the store last failed.
}

// age returns the age of the copy for a request, and until when it is trusted. A copy that was read through another
// node is as old as it was there, for nodes that can't reach the store; readers have to read it themselves. While a
// large response to this node's own call is arriving, the copy counts as old as when the call
// began: peers wait for that response, so that the hall doesn't read the store a second time
// over links that are just as narrow.
func (x *cachedTable) age(now, lastLarge time.Time, q changesRequest) (age time.Duration, trustedUntil time.Time) {
	readAt, maxAge := x.storeReadAt, q.maxAge()
	if q.StoreUnreachable && x.heardAt.After(readAt) {
		readAt = x.heardAt
	}
	if end := lastLarge.Add(maxReceiveTime); x.storeCall != nil && lastLarge.After(x.storeCallAt) && now.Before(end) {
		if age = x.storeCallAt.Sub(readAt); age <= maxAge {
			return age, end
		}
	}
	return min(maxAgeTold, now.Sub(readAt)), readAt.Add(maxAge)
}

// maxAgeTold is the age of a copy for which the store has never answered. A difference to the
// zero time does not bear the rounding to milliseconds.
const maxAgeTold = 24 * time.Hour

// table returns the copy of a table, and creates it if needed; the caller holds mu.
func (r *Reader) table(t site.Table) *cachedTable {
	x := r.tables[t]
	if x == nil {
		x = &cachedTable{changed: make(chan struct{}), former: map[string]formerValues{}, large: map[string]valueDigest{}, carried: map[string]bool{}}
		r.tables[t] = x
	}
	return x
}

// apply merges an answer into the copy that is served to peers, whether the store or a peer
// gave it: without the answers of peers, the history served here would have gaps. fromStore is
// set if the store itself answered.
func (r *Reader) apply(q changesRequest, l site.Listing, fromStore bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	x := r.table(q.Table)
	old, oldLarge, newEra := x.rows, x.large, x.position.Era < l.Position.Era
	switch {
	case l.Position.Era < x.position.Era, q.Whole && l.Position.Before(x.position):
		// The store returned an older table than before. Applying it would hide newer rows
		// from nodes that ask for the changes since then.
		return
	case q.Whole:
		x.rows, x.historyStart = make(map[string]site.Row, len(l.Rows)), l.Position
		x.changes = nil
		x.large = map[string]valueDigest{}
	case x.position.Before(q.After):
		x.rows = nil // The changes in between are missing.
	}
	if fromStore {
		x.storeReadAt = boottime.Now()
	}
	if x.rows == nil {
		return
	}
	for _, row := range l.Rows {
		former := old[row.Key]
		switch {
		case row.Position.Before(former.Position):
			row = former // An answer with a newer row arrived first.
		case former.Key != "" && (newEra || x.carried[row.Key]):
			row = r.newerContent(x, former, row)
		}
		digest := oldLarge[row.Key]
		if !bytes.Equal(former.Value, row.Value) {
			if digest != "" {
				x.former[row.Key] = x.former[row.Key].add(formerValue{former.Value, digest})
			}
			digest = ""
		}
		x.setRow(row, digest)
		if q.Whole {
			x.changes = append(x.changes, rowChange{row.Position, row.Key}) // Sorted below.
		} else {
			x.changes = x.changes.add(row)
		}
	}
	if q.Whole {
		r.carryMissing(x, old, newEra)
		slices.SortFunc(x.changes, compareChanges)
	}
	x.changes = x.changes.compact(x.rows)
	since := x.position
	if newEra && q.Whole && old != nil {
		r.logNewEra(q.Table, since, l.Position, old, x)
	}
	x.position = history.Later(x.position, l.Position)
	if len(l.Rows) > 0 || q.Whole {
		x.packed = nil
		if fromStore && !q.Whole {
			r.packForPeers(x, since, l.Rows)
		}
		close(x.changed)
		x.changed = make(chan struct{})
	}
}

// logNewEra logs how the first listing of an era differs from the copy of the era before.
func (r *Reader) logNewEra(t site.Table, before, after history.Position, old map[string]site.Row, x *cachedTable) {
	differ, missing := 0, 0
	for key, row := range x.rows {
		if former, known := old[key]; !known || former.Gone || !bytes.Equal(former.Value, row.Value) {
			differ++
		}
	}
	for key, row := range old {
		if _, there := x.rows[key]; !there && !row.Gone {
			missing++
		}
	}
	r.log.Info("table listed in a new era", "table", tableName(t), "before", before, "position", after,
		"rows", len(x.rows), "differ", differ, "missing", missing, "carried", len(x.carried))
}

// newerContent returns a row as it is to be kept once the store has come back from a copy: its content may be
// older than that of the known row.
func (r *Reader) newerContent(x *cachedTable, known, read site.Row) site.Row {
	state := history.State{Position: known.Position, Number: r.RowNumber(known)}
	if state.IsReplacedBy(history.State{Position: read.Position, Number: r.RowNumber(read)}) {
		delete(x.carried, read.Key)
		return read
	}
	x.carried[read.Key] = true
	read.Value, read.Gone = known.Value, known.Gone
	return read
}

// carryMissing keeps the rows that the store's copy lacks and whose contents have numbers of their own. newEra is
// set for the first listing of an era.
func (r *Reader) carryMissing(x *cachedTable, old map[string]site.Row, newEra bool) {
	for key, row := range old {
		_, there := x.rows[key]
		if there || !newEra && !x.carried[key] || r.RowNumber(row) == 0 {
			continue
		}
		row.Position = x.historyStart
		x.carry(row)
	}
}

// markCarried records rows whose contents are newer than the store's.
func (r *Reader) markCarried(t site.Table, keys []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, key := range keys {
		r.table(t).carried[key] = true
	}
}

// carry adds a row with a newer content than the store's.
func (x *cachedTable) carry(row site.Row) {
	x.setRow(row, "")
	x.carried[row.Key] = true
	x.changes = x.changes.add(row)
	x.packed = nil
}

// setRow sets a row; digest is that of its value, "" if it is not known.
func (x *cachedTable) setRow(row site.Row, digest valueDigest) {
	x.rows[row.Key] = row
	if len(row.Value) < minBaseSize {
		delete(x.large, row.Key)
		return
	}
	if digest == "" {
		digest = digestOf(row.Value)
	}
	x.large[row.Key] = digest
}

// packForPeers packs the changes for peers that are up to date before they ask. Packing takes
// some 13 ms for 5,600 routes; done on request, it could end after the peers' long polls have
// timed out.
func (r *Reader) packForPeers(x *cachedTable, since history.Position, rows []site.Row) {
	for _, row := range rows {
		if former := x.former[row.Key]; len(former) > 0 && len(row.Value) >= minBaseSize {
			q := changesRequest{After: since, HaveRef: rowRef{Key: row.Key, Digest: former[0].digest}}
			if _, err := x.packFor(q); err != nil {
				r.log.Error("row not encoded for peers", "row", row.Key, "position", row.Position, "err", err)
			}
		}
	}
}

// changedRows lists the rows whose last change is after a position, with the deleted ones if gone is set.
func (x *cachedTable) changedRows(after history.Position, gone bool) (rows []site.Row) {
	for _, c := range x.changes.since(after) {
		if row := x.rows[c.key]; row.Position == c.position && (gone || !row.Gone) {
			rows = append(rows, row)
		}
	}
	return rows
}

// packFor packs the rows that a request asks for. Equal requests get the same bytes, packed
// once, so that answering 20 nodes takes the time of one.
func (x *cachedTable) packFor(q changesRequest) (p packedRows, err error) {
	key := packedKey{whole: q.Whole}
	after := q.After
	if q.Whole {
		after = beforeAll
	}
	rows := x.changedRows(after, !q.Whole)
	if len(rows) == 0 {
		return p, nil
	}
	key.first = rows[0].Position
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

// beforeAll is a position before that of any row.
var beforeAll = history.Position{Version: -1}

// changeOrder lists rows by the position of their last change, and may contain earlier
// positions of some. With it, answering for the changes since a position does not take a look
// at every row: the nodes of a hall ask their reader hundreds of times a second.
type changeOrder []rowChange

type rowChange struct {
	position history.Position
	key      string
}

// add adds a change of a row.
func (o changeOrder) add(row site.Row) changeOrder {
	c := rowChange{row.Position, row.Key}
	if len(o) == 0 || o[len(o)-1].position.Before(c.position) {
		return append(o, c)
	}
	at, found := slices.BinarySearchFunc(o, c, compareChanges)
	if found {
		return o
	}
	return slices.Insert(o, at, c)
}

// since returns the changes after a position.
func (o changeOrder) since(p history.Position) []rowChange {
	at := sort.Search(len(o), func(i int) bool { return p.Before(o[i].position) })
	return o[at:]
}

// compact drops the earlier positions of rows once they are as many as the rows.
func (o changeOrder) compact(rows map[string]site.Row) changeOrder {
	if len(o) <= 2*len(rows) {
		return o
	}
	return slices.DeleteFunc(o, func(c rowChange) bool { return rows[c.key].Position != c.position })
}

func compareChanges(a, b rowChange) int {
	return cmp.Or(a.position.Compare(b.position), cmp.Compare(a.key, b.key))
}

// baseValue returns the value that ref names, nil if it is not known here.
func (x *cachedTable) baseValue(ref rowRef) []byte {
	if ref.Digest != "" && x.large[ref.Key] == ref.Digest {
		return x.rows[ref.Key].Value
	}
	return x.former[ref.Key].find(ref.Digest)
}
