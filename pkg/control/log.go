package control

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"time"

	"github.com/rotisserie/eris"

	"github.com/drumpath/drumpath/pkg/config"
	"github.com/drumpath/drumpath/pkg/locks"
	"github.com/drumpath/drumpath/pkg/tablestore"
)

const (
	headRowKey       = "config/head"
	snapshotObject   = "config/snapshot"
	logRows          = 4096 // Rows of the log in the table service, reused in a ring.
	snapshotEvery    = 64   // Versions between snapshots.
	readBatch        = 64   // Maximum number of log rows in one read.
	maxKeptEntries   = 1024 // Entries kept in memory for peers.
	commitRetryPause = 100 * time.Millisecond
	maxDeltaEntries  = 256
)

// Log is this node's copy of the configuration log.
//
// A change is accepted when its transaction on the head row commits. The
// transaction is conditional on the head's version, so only one of two changes
// for the same version commits. Nodes apply entries in order of version and never
// return to an older one, whatever the order or source of their arrival.
type Log struct {
	node    string
	table   Table
	objects objectStore
	log     *slog.Logger

	proposeMu locks.Mutex // Serialises this node's proposals; locked before mu.

	mu       locks.Mutex
	state    *config.State
	entries  []Entry // The newest entries, oldest first.
	watchers []func(*config.State)
	changed  chan struct{} // Closed and replaced at each change.
}

// NewLog returns an empty copy of the log.
func NewLog(node string, t *tablestore.Table, o *tablestore.Objects, log *slog.Logger) *Log {
	return newLog(node, t, o, log)
}

func newLog(node string, t Table, o objectStore, log *slog.Logger) *Log {
	return &Log{
		node:    node,
		table:   t,
		objects: o,
		log:     log,
		state:   config.NewState(),
		changed: make(chan struct{}),
	}
}

// State returns the newest configuration this node has.
func (l *Log) State() *config.State {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state
}

// Watch calls fn with the current configuration and then with each new one, in
// order. fn is called with the log's lock held and must not call the log.
func (l *Log) Watch(fn func(*config.State)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.watchers = append(l.watchers, fn)
	fn(l.state)
}

// Wait blocks until the configuration has reached a version or ctx ends.
func (l *Log) Wait(ctx context.Context, version uint64) error {
	for {
		l.mu.Lock()
		reached, changed := l.state.Version >= version, l.changed
		l.mu.Unlock()
		if reached {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// Since returns the delta that brings a node at an older version up to date.
func (l *Log) Since(version uint64) Delta {
	l.mu.Lock()
	defer l.mu.Unlock()
	if version >= l.state.Version {
		return Delta{}
	}
	missing := l.state.Version - version
	if missing > uint64(len(l.entries)) || missing > maxDeltaEntries {
		return Delta{State: l.state}
	}
	return Delta{Entries: l.entries[uint64(len(l.entries))-missing:]}
}

// Recent returns the newest entries, oldest first.
func (l *Log) Recent(limit int) []Entry {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Entry(nil), l.entries[max(0, len(l.entries)-limit):]...)
}

// Merge applies a peer's delta; entries that are older or don't directly follow
// the current version are ignored.
func (l *Log) Merge(d Delta) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if d.State != nil && d.State.Version > l.state.Version {
		d.State.Index()
		l.entries = nil
		l.setState(d.State)
	}
	for _, e := range d.Entries {
		if e.Version == l.state.Version+1 {
			l.applyEntry(e)
		}
	}
}

// applyEntry applies the next entry; the caller holds mu.
func (l *Log) applyEntry(e Entry) {
	next, err := l.state.Apply(e.Command)
	if err != nil {
		// The writer applied the command to the same state, so this is a bug. The
		// version is still counted, as on every other node.
		l.log.Error("accepted command can't be applied", "version", e.Version, "err", err)
		skipped := *l.state
		skipped.Version = e.Version
		next = &skipped
	}
	l.entries = append(l.entries, e)
	if len(l.entries) > 2*maxKeptEntries {
		l.entries = append([]Entry(nil), l.entries[maxKeptEntries:]...)
	}
	l.setState(next)
}

// setState replaces the state and notifies waiters and watchers; the caller
// holds mu.
func (l *Log) setState(s *config.State) {
	l.state = s
	close(l.changed)
	l.changed = make(chan struct{})
	for _, fn := range l.watchers {
		fn(s)
	}
}

// Refresh brings the log up to date from the table service.
func (l *Log) Refresh(ctx context.Context) (err error) {
	defer func() { err = eris.Wrap(err, "refresh configuration") }()
	rows, err := l.table.Read(ctx, headRowKey)
	if err != nil {
		return err
	}
	return l.catchUp(ctx, rows[0].Version)
}

// catchUp reads entries up to a version, after loading the snapshot if too many
// are missing.
func (l *Log) catchUp(ctx context.Context, version uint64) error {
	for {
		current := l.State().Version
		if current >= version {
			return nil
		}
		if version-current > logRows/2 {
			if err := l.loadSnapshot(ctx, current); err != nil {
				return err
			}
			continue
		}
		if err := l.readEntries(ctx, current, min(version, current+readBatch)); err != nil {
			return err
		}
	}
}

// readEntries reads and applies the entries after current up to upTo, or loads
// the snapshot if their rows have been overwritten.
func (l *Log) readEntries(ctx context.Context, current, upTo uint64) error {
	var keys []string
	for v := current + 1; v <= upTo; v++ {
		keys = append(keys, entryRowKey(v))
	}
	rows, err := l.table.Read(ctx, keys...)
	if err != nil {
		return err
	}
	entries := make([]Entry, len(rows))
	for i, row := range rows {
		if err := json.Unmarshal(row.Value, &entries[i]); err != nil {
			return eris.Wrapf(err, "log row %s", row.Key)
		}
		if entries[i].Version != current+1+uint64(i) {
			return l.loadSnapshot(ctx, current)
		}
	}
	l.Merge(Delta{Entries: entries})
	return nil
}

// Load applies the snapshot, so that a starting node asks its peers only for
// newer entries: the state of a large fleet is megabytes.
func (l *Log) Load(ctx context.Context) (err error) {
	defer func() { err = eris.Wrap(err, "load configuration") }()
	return l.loadSnapshot(ctx, l.State().Version)
}

// loadSnapshot loads and applies the snapshot, which must be newer than current.
func (l *Log) loadSnapshot(ctx context.Context, current uint64) error {
	var snapshot config.State
	if err := l.objects.Get(ctx, snapshotObject, &snapshot); err != nil {
		return err
	}
	if snapshot.Version <= current {
		return eris.Errorf("snapshot is at version %d, not past %d", snapshot.Version, current)
	}
	l.Merge(Delta{State: &snapshot})
	return nil
}

// entryRowKey returns the key of the row that holds a version's entry.
func entryRowKey(version uint64) string { return fmt.Sprintf("config/log/%d", version%logRows) }

// Propose appends a command to the log and returns its version. If ifVersion is
// not 0, the configuration must be at that version. The error is a
// *ConflictError, a *config.CommandError, a *OutcomeUnknownError, or wraps
// tablestore.ErrNotApplied.
func (l *Log) Propose(ctx context.Context, cmd config.Command, ifVersion uint64) (version uint64, err error) {
	defer func() { err = eris.Wrap(err, "propose") }()
	l.proposeMu.Lock()
	defer l.proposeMu.Unlock()
	for startVersion := l.State().Version; ; {
		base := l.State()
		if ifVersion != 0 && base.Version != ifVersion {
			return 0, &ConflictError{Wanted: ifVersion, Winner: base.Version}
		}
		if _, err := base.Apply(cmd); err != nil {
			if other, ok := l.findSameObject(cmd, startVersion); ok {
				return 0, &ConflictError{Winner: other.Version, WinnerCommand: other.Command.String()}
			}
			return 0, err
		}
		entry := Entry{Version: base.Version + 1, Nonce: newNonce(), Node: l.node, Command: cmd}
		won, err := l.commitEntry(ctx, entry)
		if err != nil {
			return 0, err
		}
		if won {
			l.Merge(Delta{Entries: []Entry{entry}})
			l.writeSnapshotIfDue(ctx, entry.Version)
			return entry.Version, nil
		}
		if err := l.Refresh(ctx); err != nil {
			return 0, eris.Wrap(tablestore.ErrNotApplied, err.Error())
		}
		if other, ok := l.findSameObject(cmd, startVersion); ok {
			return 0, &ConflictError{Winner: other.Version, WinnerCommand: other.Command.String()}
		}
	}
}

// findSameObject returns the first entry after a version that changed the
// command's object.
func (l *Log) findSameObject(cmd config.Command, after uint64) (Entry, bool) {
	for _, e := range l.Recent(maxKeptEntries) {
		if e.Version > after && e.Command.Kind == cmd.Kind && e.Command.Name == cmd.Name {
			return e, true
		}
	}
	return Entry{}, false
}

// commitEntry tries to write the entry at its version and reports whether it
// won that version. After a lost answer the transaction is sent again: it is the
// same conditional write, so at most one attempt takes effect, and none can once
// another entry has the version.
func (l *Log) commitEntry(ctx context.Context, e Entry) (won bool, err error) {
	txn, err := entryTxn(e)
	if err != nil {
		return false, err
	}
	outcomeUnknown := false
	for {
		err := l.table.Commit(ctx, txn)
		var conflict *tablestore.ConflictError
		switch {
		case err == nil:
			return true, nil
		case errors.As(err, &conflict):
			if !outcomeUnknown {
				return false, nil
			}
			if won, err := l.isOwnEntry(ctx, e); err == nil {
				return won, nil
			}
		case errors.Is(err, tablestore.ErrNotApplied):
			if !outcomeUnknown {
				return false, err
			}
		default:
			outcomeUnknown = true
		}
		select {
		case <-ctx.Done():
			return false, &OutcomeUnknownError{Version: e.Version, Nonce: e.Nonce}
		case <-time.After(commitRetryPause):
		}
	}
}

func entryTxn(e Entry) (txn tablestore.Txn, err error) {
	body, err := json.Marshal(e)
	if err != nil {
		return tablestore.Txn{}, err
	}
	headBody, err := json.Marshal(headRow{Version: e.Version})
	if err != nil {
		return tablestore.Txn{}, err
	}
	return tablestore.Txn{
		Conditions: []tablestore.Condition{{Key: headRowKey, Version: e.Version - 1}},
		Puts:       []tablestore.Put{{Key: headRowKey, Value: headBody}, {Key: entryRowKey(e.Version), Value: body}},
	}, nil
}

// isOwnEntry reads the entry stored at e's version and reports whether it is e.
func (l *Log) isOwnEntry(ctx context.Context, e Entry) (bool, error) {
	rows, err := l.table.Read(ctx, entryRowKey(e.Version))
	if err != nil {
		return false, err
	}
	var found Entry
	if err := json.Unmarshal(rows[0].Value, &found); err != nil {
		return false, err
	}
	if found.Version > e.Version {
		return false, eris.New("log row has been overwritten by a later entry")
	}
	return found.Nonce == e.Nonce, nil
}

// writeSnapshotIfDue writes a snapshot every snapshotEvery versions; the next one
// makes up for a failed one.
func (l *Log) writeSnapshotIfDue(ctx context.Context, version uint64) {
	if version%snapshotEvery != 0 {
		return
	}
	if err := l.objects.Put(ctx, snapshotObject, l.State()); err != nil {
		l.log.Warn("snapshot not written", "version", version, "err", err)
	}
}
