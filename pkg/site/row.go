package site

import (
	"errors"
	"time"
)

// Table is one of the store's tables that a node reads or writes.
type Table int

// Tables.
const (
	// TableOperator has what operators configure.
	TableOperator Table = iota
	// TableUpstreams has the replicas that there are.
	TableUpstreams
	// TableNodes has the nodes' own addresses, for those that start.
	TableNodes
	// TableLeases has who may do what only one may do.
	TableLeases
)

// Row is one row of a table.
type Row struct {
	Key   string
	Value []byte
	// Version rises with each write in the whole store; 0 is an absent row.
	Version int64
	// Gone rows have been dropped.
	Gone bool
}

// Listing is a table's rows, or its changes, as of a version of the store.
type Listing struct {
	Rows    []Row
	Version int64
	// Now is the store's own steady clock.
	Now time.Duration
}

// Errors of the store. Any other error leaves it open whether a write was done.
var (
	// ErrHistoryGone says that changes since the given version are no longer
	// known: the whole table has to be read.
	ErrHistoryGone = errors.New("the store's history does not go back that far")
	// ErrConflict says that the row has another version than was expected.
	ErrConflict = errors.New("the row has changed")
)
