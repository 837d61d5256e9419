package suspects

import (
	"context"
	"encoding/json"
	"time"

	"github.com/rotisserie/eris"

	"github.com/drumpath/drumpath/pkg/boottime"
	"github.com/drumpath/drumpath/pkg/site"
	"github.com/drumpath/drumpath/pkg/suspect"
)

// Blocked requests are kept in one row of the platform's store, beside the nodes' addresses
// that a node reads as it starts: it costs no call until there is one, and nodes that have
// all started anew know of them with their first answer.
const (
	// BlockedRowKey is the key of that row in the table of the nodes.
	BlockedRowKey = "requests/barred"
	// keepRetry is the pause after a failure: each call is paid for.
	keepRetry = 5 * time.Second
	// mostKept is how many are kept, the newest: some 400 bytes each of a row of 64 kB.
	mostKept = 120
)

// blockedRow is that row.
type blockedRow struct {
	// Written is when the ages were right, in Unix milliseconds of the writer: an error of
	// some seconds changes nothing.
	Written int64      `json:"written"`
	Cases   []caseNews `json:"cases"`
}

// LoadRow takes in the row.
func (s *Suspects) LoadRow(r site.Row, now time.Time) {
	var row blockedRow
	if err := json.Unmarshal(r.Value, &row); err != nil {
		s.log.Error("row of blocked requests can't be decoded", "row", r.Key, "err", err)
		return
	}
	written := now.Add(-max(0, time.Duration(now.UnixMilli()-row.Written)*time.Millisecond))
	for i := range row.Cases {
		change := s.register.Merge(row.Cases[i].caseAt(written))
		s.changed(s.register.Case(row.Cases[i].Content), change)
		s.mu.Lock()
		s.kept[row.Cases[i].Content] = true
		s.mu.Unlock()
	}
}

// SaveRow writes the row if there are blocked requests that it lacks and that fall to this
// node; the timer service calls it.
func (s *Suspects) SaveRow(ctx context.Context) {
	now := boottime.Now()
	if s.store == nil || s.register.Empty() || !s.mustKeep(now) {
		return
	}
	if err := s.writeKept(ctx, now); err != nil {
		s.mu.Lock()
		s.keepNext = now.Add(keepRetry)
		s.mu.Unlock()
		s.log.Warn("list of blocked requests not written", "err", err)
	}
}

// mustKeep says whether this node has a blocked request to write.
func (s *Suspects) mustKeep(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Before(s.keepNext) {
		return false
	}
	for _, c := range s.register.Flagged(mostKept) {
		if c.Verdict() != suspect.Blocked || s.kept[c.Content] {
			continue
		}
		if owners := s.owners(c.Content); len(owners) == 0 || owners[0].Name == s.self.Name {
			return true
		}
	}
	return false
}

// writeKept adds to the row what it lacks.
func (s *Suspects) writeKept(ctx context.Context, now time.Time) error {
	l, err := s.store.List(ctx, site.TableNodes)
	if err != nil {
		return eris.Wrap(err, "read the row")
	}
	version := int64(0)
	for _, r := range l.Rows {
		if r.Key == BlockedRowKey {
			version = r.Version
			s.LoadRow(r, now)
		}
	}
	row := blockedRow{Written: now.UnixMilli()}
	for _, c := range s.register.Flagged(mostHeld) {
		if c.Verdict() == suspect.Blocked && len(row.Cases) < mostKept {
			row.Cases = append(row.Cases, newsOfCase(c, now))
		}
	}
	value, err := json.Marshal(row)
	if err != nil {
		return err
	}
	if _, err := s.store.Put(ctx, site.TableNodes, BlockedRowKey, value, version); err != nil {
		return eris.Wrap(err, "write the row")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	clear(s.kept)
	for i := range row.Cases {
		s.kept[row.Cases[i].Content] = true
	}
	return nil
}
