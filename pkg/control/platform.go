package control

import (
	"context"
	"crypto/rand"

	"github.com/drumpath/drumpath/pkg/tablestore"
)

// Table is the part of the table service that this package uses.
type Table interface {
	// Commit executes a transaction, as tablestore.Table does.
	Commit(ctx context.Context, txn tablestore.Txn) error
	// Read returns rows by key, as tablestore.Table does.
	Read(ctx context.Context, keys ...string) ([]tablestore.Row, error)
}

// objectStore is the part of the object store that this package uses.
type objectStore interface {
	Put(ctx context.Context, name string, v any) error
	Get(ctx context.Context, name string, v any) error
}

// newNonce returns a random text that identifies one write.
func newNonce() string { return rand.Text() }
