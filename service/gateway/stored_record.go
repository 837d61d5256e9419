package gateway

import (
	"context"
	"encoding/json"

	"github.com/drumpath/drumpath/pkg/history"
	"github.com/drumpath/drumpath/pkg/site"
)

// recordRow is the only row of a table of the platform's store, which holds a record as JSON.
type recordRow[T any] struct {
	store Store
	table site.Table
	key   string
}

// storedRecord is a record as it was read, the zero value if there was none.
type storedRecord[T any] struct {
	value T
	// decodeErr is why the row can't be decoded. It counts as none, and the next record replaces it.
	decodeErr error
	// position is that of the row, which the next record replaces.
	position history.Position
	listing  site.Listing
}

// read reads the record.
func (r *recordRow[T]) read(ctx context.Context) (storedRecord[T], error) {
	l, err := r.store.List(ctx, r.table)
	if err != nil {
		return storedRecord[T]{}, err
	}
	row, found := l.Find(r.key)
	record := storedRecord[T]{position: row.Position, listing: l}
	if !found {
		return record, nil
	}
	var value T
	if record.decodeErr = json.Unmarshal(row.Value, &value); record.decodeErr == nil {
		record.value = value
	}
	return record, nil
}

// replace writes the next record unless the row has changed since it was read, and returns its position.
func (r *recordRow[T]) replace(ctx context.Context, read storedRecord[T], next T) (history.Position, error) {
	value, err := json.Marshal(next)
	if err != nil {
		return history.Position{}, err
	}
	written, err := r.store.Put(ctx, r.table, r.key, value, read.position)
	return written.Position, err
}
