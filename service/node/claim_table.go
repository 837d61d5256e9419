package node

import (
	"context"
	"errors"
	"hash/fnv"
	"log/slog"
	"strconv"
	"sync"
	"time"

	"github.com/drumpath/drumpath/pkg/control"
	"github.com/drumpath/drumpath/pkg/tablestore"
	"github.com/drumpath/drumpath/service/peer"
)

const (
	// collectorAvoid is how long a collector that did not answer is gone round.
	collectorAvoid = 5 * time.Second
	// collectorWait bounds a call to a collector, below how long a caller waits
	// for a claim.
	collectorWait = time.Second
)

// commitAnswer is a collector's answer.
type commitAnswer struct {
	Committed bool             `json:"committed"`
	Conflicts []tablestore.Row `json:"conflicts,omitempty"`
	// NotApplied says that the transaction certainly had no effect.
	NotApplied bool `json:"not_applied,omitempty"`
}

// claimTable writes claims through the fleet's collectors, which join those of
// many nodes. A collector that does not answer leaves the outcome unknown, which
// claims settle by writing again; then the table service is asked directly.
type claimTable struct {
	self    string
	members *control.Members
	client  *peer.Client
	local   *control.Collector
	table   *tablestore.Table
	log     *slog.Logger

	mu    sync.Mutex
	avoid map[string]time.Time
}

// Commit implements the table that claims are written to.
func (t *claimTable) Commit(ctx context.Context, txn tablestore.Txn) error {
	owner, ok := t.collector(txn)
	if !ok || owner.Name == t.self {
		return t.local.Commit(ctx, txn)
	}
	ctx, cancel := context.WithTimeout(ctx, collectorWait)
	defer cancel()
	var a commitAnswer
	if err := t.client.Call(ctx, owner.Peer, peer.MethodCommit, txn, &a); err != nil {
		t.log.Debug("collector not reached", "node", owner.Name, "err", err)
		t.mu.Lock()
		defer t.mu.Unlock()
		t.avoid[owner.Name] = time.Now().Add(collectorAvoid)
		return tablestore.ErrUnknown
	}
	switch {
	case a.Committed:
		return nil
	case len(a.Conflicts) > 0:
		return &tablestore.ConflictError{Rows: a.Conflicts}
	case a.NotApplied:
		return tablestore.ErrNotApplied
	default:
		return tablestore.ErrUnknown
	}
}

// Read implements the table that claims are written to.
func (t *claimTable) Read(ctx context.Context, keys ...string) ([]tablestore.Row, error) {
	return t.table.Read(ctx, keys...)
}

// collector picks the collector of a transaction; ok is false to go without.
func (t *claimTable) collector(txn tablestore.Txn) (owner control.Member, ok bool) {
	h := fnv.New32a()
	_, _ = h.Write([]byte(txn.Puts[0].Key)) // It never fails.
	duty := "collector/" + strconv.Itoa(int(h.Sum32()%control.Collectors))
	owner, ok = control.Owner(t.members.Working(), duty)
	if !ok {
		return owner, false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return owner, !time.Now().Before(t.avoid[owner.Name])
}

// commit serves a peer's transaction.
func (n *Node) commit(ctx context.Context, txn tablestore.Txn) (a commitAnswer, err error) {
	err = n.Collector.Commit(ctx, txn)
	var conflict *tablestore.ConflictError
	switch {
	case err == nil:
		a.Committed = true
	case errors.As(err, &conflict):
		a.Conflicts = conflict.Rows
	case errors.Is(err, tablestore.ErrNotApplied):
		a.NotApplied = true
	}
	return a, nil
}
