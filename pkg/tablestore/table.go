package tablestore

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/netip"
	"time"

	"github.com/rotisserie/eris"

	"github.com/drumpath/drumpath/pkg/httpjson"
)

// Paths of the table service.
const (
	PathCommit = "/v1/commit"
	PathRead   = "/v1/read"
)

// ReadRequest asks for rows by key.
type ReadRequest struct {
	Keys []string `json:"keys"`
}

// ReadAnswer has one row for each requested key, in the same order.
type ReadAnswer struct {
	Rows []Row `json:"rows"`
}

// Table is a client of the table service.
type Table struct {
	http    *httpjson.Client
	timeout time.Duration
	breaker *Breaker
}

// NewTable returns a client of the table service at addr; timeout is that of each
// call.
func NewTable(addr netip.AddrPort, timeout time.Duration) *Table {
	return &Table{http: httpjson.NewClient(addr), timeout: timeout, breaker: NewBreaker()}
}

// Commit executes a transaction. The error is a *ConflictError if a condition does
// not hold, otherwise it wraps ErrNotApplied or ErrOutcomeUnknown.
func (t *Table) Commit(ctx context.Context, txn Txn) (err error) {
	defer func() { err = eris.Wrap(err, "table commit") }()
	if !t.breaker.Allow(time.Now()) {
		return ErrNotApplied
	}
	ctx, cancel := context.WithTimeout(ctx, t.timeout)
	defer cancel()
	err = t.http.Call(ctx, http.MethodPost, PathCommit, txn, nil)
	t.breaker.Done(err, time.Now())
	var status *httpjson.StatusError
	switch {
	case err == nil:
		return nil
	case httpjson.NotSent(err):
		return eris.Wrap(ErrNotApplied, err.Error())
	case !errors.As(err, &status):
		return eris.Wrap(ErrOutcomeUnknown, err.Error())
	case status.Code == http.StatusConflict:
		conflict := &ConflictError{}
		if json.Unmarshal(status.Body, conflict) != nil {
			return eris.Wrap(ErrOutcomeUnknown, status.Error())
		}
		return conflict
	case status.Code == http.StatusTooManyRequests || status.Code == http.StatusBadRequest:
		return eris.Wrap(ErrNotApplied, status.Error())
	default:
		return eris.Wrap(ErrOutcomeUnknown, status.Error())
	}
}

// Read returns the rows of the keys; rows that do not exist have version 0. The error
// wraps ErrUnavailable.
func (t *Table) Read(ctx context.Context, keys ...string) (rows []Row, err error) {
	defer func() { err = eris.Wrap(err, "table read") }()
	if !t.breaker.Allow(time.Now()) {
		return nil, ErrUnavailable
	}
	ctx, cancel := context.WithTimeout(ctx, t.timeout)
	defer cancel()
	var answer ReadAnswer
	err = t.http.Call(ctx, http.MethodPost, PathRead, ReadRequest{Keys: keys}, &answer)
	t.breaker.Done(err, time.Now())
	if err != nil {
		return nil, eris.Wrap(ErrUnavailable, err.Error())
	}
	if len(answer.Rows) != len(keys) {
		return nil, eris.Wrap(ErrUnavailable, "wrong number of rows")
	}
	return answer.Rows, nil
}

// Available reports whether the breaker allows calls to the service.
func (t *Table) Available() bool { return !t.breaker.Open(time.Now()) }

// Close drops idle connections.
func (t *Table) Close() { t.http.Close() }
