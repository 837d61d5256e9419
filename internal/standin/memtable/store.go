// Package memtable implements a store of one table in memory, for tests without a network.
package memtable

import (
	"context"
	"errors"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/drumpath/drumpath/pkg/history"
	"github.com/drumpath/drumpath/pkg/site"
)

// Store is the platform's store with one table. Mu guards the fields while calls are under way.
type Store struct {
	Mu           sync.Mutex
	Rows         []site.Row
	Version      int64
	HistoryStart int64 // Changes up to this version are no longer available.
	Calls        int   // List and Changes.
	Fail         bool  // All calls fail.
	Era          history.Era
	KnownEras    history.Eras
}

// Add writes a row whose value is its key.
func (s *Store) Add(key string) {
	s.Mu.Lock()
	defer s.Mu.Unlock()
	s.Version++
	s.Rows = append(s.Rows, site.Row{Key: key, Position: history.Position{Version: s.Version}, Value: []byte(key)})
}

// List returns the whole table.
func (s *Store) List(context.Context, site.Table) (site.Listing, error) {
	s.Mu.Lock()
	defer s.Mu.Unlock()
	s.Calls++
	if s.Fail {
		return site.Listing{}, errors.New("down")
	}
	return site.Listing{Rows: append([]site.Row(nil), s.Rows...), Position: history.Position{Era: s.Era, Version: s.Version}}, nil
}

// ListPrefix returns the rows whose keys begin with a prefix.
func (s *Store) ListPrefix(ctx context.Context, t site.Table, prefix string) (site.Listing, error) {
	l, err := s.List(ctx, t)
	l.Rows = slices.DeleteFunc(l.Rows, func(r site.Row) bool { return !strings.HasPrefix(r.Key, prefix) })
	return l, err
}

// Changes returns the rows after a position at once. The error wraps site.ErrHistoryGone for one before HistoryStart.
func (s *Store) Changes(_ context.Context, _ site.Table, after history.Position, _ time.Duration) (site.Listing, error) {
	s.Mu.Lock()
	defer s.Mu.Unlock()
	s.Calls++
	if s.Fail {
		return site.Listing{}, errors.New("down")
	}
	if after.Before(history.Position{Version: s.HistoryStart}) {
		return site.Listing{}, site.ErrHistoryGone
	}
	l := site.Listing{Position: history.Position{Version: s.Version}}
	for _, r := range s.Rows {
		if after.Before(r.Position) {
			l.Rows = append(l.Rows, r)
		}
	}
	return l, nil
}

// Put does nothing.
func (s *Store) Put(context.Context, site.Table, string, []byte, history.Position) (site.Listing, error) {
	return site.Listing{}, nil
}

// PutUnconditionally does nothing.
func (s *Store) PutUnconditionally(context.Context, site.Table, string, []byte) error {
	return nil
}

// LastLargeResponse returns zero: no response is large.
func (s *Store) LastLargeResponse() time.Time { return time.Time{} }

// Eras returns KnownEras.
func (s *Store) Eras() *history.Eras { return &s.KnownEras }

// Close does nothing.
func (s *Store) Close() {}

// CallCount returns Calls.
func (s *Store) CallCount() int {
	s.Mu.Lock()
	defer s.Mu.Unlock()
	return s.Calls
}
