package suspects

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/drumpath/drumpath/pkg/boottime"
	"github.com/drumpath/drumpath/pkg/site"
	"github.com/drumpath/drumpath/pkg/suspect"
)

// Blocked requests are stored in one row of the platform's store, in the table of node
// addresses that each node reads as it starts. The row costs no call while nothing is
// blocked, and after a restart of all nodes each of them reads it with its first call.
const (
	// BlockedRowKey is the key of that row.
	BlockedRowKey = "requests/barred"
	// saveRetryPause is the pause after a failed write: each call is paid for.
	saveRetryPause = 5 * time.Second
	// rewriteDelay is how long after the store has come back from a copy the row is not written: which
	// cases the copy has is not known before the list of nodes is read again.
	rewriteDelay = 2 * time.Second
	// maxStoredCases is how many of the newest cases are stored, and maxRowBytes what they take at most of a row of
	// 64 kB.
	maxStoredCases = 120
	maxRowBytes    = 56 << 10
)

// blockedRow is the value of that row.
type blockedRow struct {
	// Written is the Unix time in milliseconds, by the writer's clock, that the ages in
	// Cases refer to. An error of some seconds does no harm.
	Written int64         `json:"written"`
	Cases   []caseMessage `json:"cases"`
}

// LoadRow merges the cases of the row into the register.
func (s *Suspects) LoadRow(r site.Row, now time.Time) {
	var row blockedRow
	if err := json.Unmarshal(r.Value, &row); err != nil {
		s.log.Error("row of blocked requests can't be decoded", "row", r.Key, "err", err)
		return
	}
	written := now.Add(-max(0, time.Duration(now.UnixMilli()-row.Written)*time.Millisecond))
	cases := make([]suspect.Case, len(row.Cases))
	for i := range row.Cases {
		cases[i] = row.Cases[i].decode(written)
	}
	for i, change := range s.register.MergeAll(cases) {
		s.logChange(s.register.Case(cases[i].Fingerprint), change)
		s.mu.Lock()
		s.stored[cases[i].Fingerprint] = true
		s.mu.Unlock()
	}
}

// HandleEra has the blocked requests stored again that the row lacks once the store has come back from a
// copy. What the copy has is learned with the list of nodes.
func (s *Suspects) HandleEra() {
	s.mu.Lock()
	defer s.mu.Unlock()
	clear(s.stored)
	s.nextSave = boottime.Now().Add(rewriteDelay)
}

// SaveRow writes the row if a blocked request is missing from it and this node is the one
// to write it. The timer service calls it.
func (s *Suspects) SaveRow(ctx context.Context) {
	now := boottime.Now()
	if s.store == nil || s.register.Empty() || !s.mustSave(now) {
		return
	}
	if err := s.writeRow(ctx, now); err != nil {
		s.mu.Lock()
		s.nextSave = now.Add(saveRetryPause)
		s.mu.Unlock()
		s.log.Warn("list of blocked requests not written", "err", err)
	}
}

// mustSave reports whether there is a blocked request that is not stored yet and whose first
// owner is this node.
func (s *Suspects) mustSave(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Before(s.nextSave) {
		return false
	}
	for _, c := range s.register.Flagged(maxStoredCases) {
		if c.Verdict() != suspect.Blocked || s.stored[c.Fingerprint] {
			continue
		}
		if owners := s.owners(c.Fingerprint); len(owners) == 0 || owners[0].Name == s.self.Name {
			return true
		}
	}
	return false
}

// writeRow merges the stored row into the register and writes all blocked requests.
func (s *Suspects) writeRow(ctx context.Context, now time.Time) error {
	l, err := s.store.List(ctx, site.TableNodes)
	if err != nil {
		return eris.Wrap(err, "read list of blocked requests")
	}
	stored, found := l.Find(BlockedRowKey)
	if found {
		s.LoadRow(stored, now)
		if !s.mustSave(now) {
			return nil
		}
	}
	row := blockedRow{Written: now.UnixMilli()}
	blocked := slices.DeleteFunc(s.register.Flagged(unlimited), func(c suspect.Case) bool { return c.Verdict() != suspect.Blocked })
	row.Cases = newCaseMessages(blocked, maxStoredCases, maxRowBytes, now)
	value, err := json.Marshal(row)
	if err != nil {
		return err
	}
	written, err := s.store.Put(ctx, site.TableNodes, BlockedRowKey, value, stored.Position)
	if err != nil {
		return eris.Wrap(err, "write list of blocked requests")
	}
	s.log.Info("blocked requests stored", "cases", len(row.Cases), "position", written.Position)
	s.mu.Lock()
	defer s.mu.Unlock()
	clear(s.stored)
	for i := range row.Cases {
		s.stored[row.Cases[i].Fingerprint] = true
	}
	return nil
}
