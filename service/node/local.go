package node

import (
	"sort"
	"strconv"
	"time"

	"github.com/drumpath/drumpath/pkg/control"
	"github.com/drumpath/drumpath/pkg/lang"
	"github.com/drumpath/drumpath/pkg/prompt"
	"github.com/drumpath/drumpath/pkg/route"
)

// localTables answers operators' queries about the state of this node.
type localTables struct {
	log       *control.Log
	admission *route.Admission
	links     *route.Links
	watches   *Watches
	leases    *control.Leases
}

// Rows returns this node's rows of a table, for the operator service.
func (l *localTables) Rows(table string) (lang.Table, bool) {
	switch table {
	case "prompts":
		return l.promptRows(), true
	case "queues":
		return l.queueRows(), true
	case "links":
		return l.linkRows(), true
	case "duties":
		return l.dutyRows(), true
	case "leases":
		return l.leaseRows(), true
	case "versions":
		version := strconv.FormatUint(l.log.State().Version, 10)
		return lang.Table{Columns: []string{"version"}, Rows: [][]string{{version}}}, true
	default:
		return lang.Table{}, false
	}
}

func (l *localTables) promptRows() lang.Table {
	t := lang.Table{Columns: []string{"store", "key", "tokens", "bytes", "generation"}}
	for _, o := range l.watches.Objects() {
		t.Rows = append(t.Rows, []string{
			o.Store, o.Key.String(), strconv.Itoa(o.Chunks * prompt.ChunkTokens),
			strconv.FormatInt(o.Bytes, 10), strconv.FormatUint(o.Generation, 10),
		})
	}
	return t
}

func (l *localTables) queueRows() lang.Table {
	t := lang.Table{Columns: []string{"organisation", "inside", "waiting"}}
	for name, q := range l.admission.Status().Organisations {
		t.Rows = append(t.Rows, []string{name, strconv.Itoa(q.Admitted), strconv.Itoa(q.Waiting)})
	}
	sortRows(t)
	return t
}

func (l *localTables) linkRows() lang.Table {
	t := lang.Table{Columns: []string{"link", "bytes_per_second", "booked_ms", "moved_bytes"}}
	for _, s := range l.links.Status(time.Now()) {
		t.Rows = append(t.Rows, []string{
			s.Name, strconv.FormatFloat(s.Rate, 'f', 0, 64),
			strconv.FormatInt(s.Booked.Milliseconds(), 10), strconv.FormatInt(s.Moved, 10),
		})
	}
	sortRows(t)
	return t
}

func (l *localTables) dutyRows() lang.Table {
	t := lang.Table{Columns: []string{"upstream", "kind", "held", "resyncs", "freed"}}
	for _, w := range l.watches.Status() {
		t.Rows = append(t.Rows, []string{
			w.Upstream, w.Kind, strconv.Itoa(w.Entries), strconv.Itoa(w.Resyncs), strconv.Itoa(w.Freed),
		})
	}
	sortRows(t)
	return t
}

func (l *localTables) leaseRows() lang.Table {
	t := lang.Table{Columns: []string{"lease", "epoch", "valid_ms"}}
	for _, s := range l.leases.Status(time.Now()) {
		t.Rows = append(t.Rows, []string{
			s.Name, strconv.FormatUint(s.Epoch, 10), strconv.FormatInt(s.Valid.Milliseconds(), 10),
		})
	}
	sortRows(t)
	return t
}

func sortRows(t lang.Table) {
	sort.Slice(t.Rows, func(i, j int) bool { return t.Rows[i][0] < t.Rows[j][0] })
}
