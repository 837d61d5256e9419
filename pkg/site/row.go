package site

import (
	"errors"
	"time"

	"github.com/drumpath/drumpath/pkg/history"
)

// Table is a table of the platform's store that nodes read or write.
type Table int

// Tables.
const (
	// TableOperator has the operators' configuration.
	TableOperator Table = iota
	// TableUpstreams has the replicas.
	TableUpstreams
	// TableNodes has the nodes' addresses, so that nodes that start find the others.
	TableNodes
	// TableLeases has the leases.
	TableLeases
	// TableStatus has what nodes tell operators.
	TableStatus
	// TableSoftware has the versions of each service's software at which streams may have begun.
	TableSoftware
	// TableWeights has when versions of models' weights were named.
	TableWeights
	// TableSharing has the period in which organisations share KV cache.
	TableSharing
)

// Row is one row of a table.
type Row struct {
	Key   string
	Value []byte
	// Position is that of the last write to the row, in the era in which the row was read.
	Position history.Position
	// Gone rows have been deleted.
	Gone bool
}

// Listing is the rows or the changes of a table at one position of the store.
type Listing struct {
	Rows     []Row
	Position history.Position
	// Now is the store's clock. It is monotonic within an era.
	Now time.Duration
}

// Find returns the row with a key. If there is none, the result has the position with which a write expects an
// absent row.
func (l *Listing) Find(key string) (r Row, ok bool) {
	for _, r := range l.Rows {
		if r.Key == key && !r.Gone {
			return r, true
		}
	}
	return Row{Position: history.Position{Era: l.Position.Era}}, false
}

// Errors of the platform's store. After any other error a write may or may not have been done.
var (
	// ErrHistoryGone means that the store does not have the changes since the given position: the whole
	// table has to be read.
	ErrHistoryGone = errors.New("store does not have the changes since the given position")
	// ErrConflict means that the row does not have the expected position.
	ErrConflict = errors.New("row does not have the expected position")
	// ErrEraEnded means that the era in which a call was made has ended. A write may have been done in
	// the next one, where its condition held by accident: the row has to be read again.
	ErrEraEnded = errors.New("the era of the store has ended")
)
