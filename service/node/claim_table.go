package node

import (
	"context"
	"errors"
	"hash/fnv"
	"log/slog"
	"strconv"
	"time"

	"github.com/drumpath/drumpath/pkg/control"
	"github.com/drumpath/drumpath/pkg/locks"
	"github.com/drumpath/drumpath/pkg/tablestore"
	"github.com/drumpath/drumpath/service/peer"
)

const (
	// collectorAvoidDuration is how long a collector that did not answer is bypassed.
	collectorAvoidDuration = 5 * time.Second
	// collectorTimeout bounds a call to a collector. It is shorter than the time
	// that a request waits for its claim.
	collectorTimeout = time.Second
)

// commitAnswer is a collector's answer to a commit.
type commitAnswer struct {
	Committed bool             `json:"committed"`
	Conflicts []tablestore.Row `json:"conflicts,omitempty"`
	// NotApplied is set if the transaction definitely had no effect.
	NotApplied bool `json:"not_applied,omitempty"`
}

// claimTable writes claims through the fleet's collectors, which batch the claims
// of many nodes into one transaction. If a collector does not answer, the outcome
// is unknown; control.Claims resolves it by writing again, and that write goes
// through this node's own collector.
type claimTable struct {
	self    string
	members *control.Members
	client  *peer.Client
	local   *control.Collector
	table   *tablestore.Table
	log     *slog.Logger

	mu         locks.Mutex
	avoidUntil map[string]time.Time
}

// Commit implements control.Table.
func (t *claimTable) Commit(ctx context.Context, txn tablestore.Txn) error {
	owner, ok := t.collector(txn)
	if !ok || owner.Name == t.self {
		return t.local.Commit(ctx, txn)
	}
	ctx, cancel := context.WithTimeout(ctx, collectorTimeout)
	defer cancel()
	var answer commitAnswer
	if err := t.client.Call(ctx, owner.Peer, peer.MethodCommit, txn, &answer); err != nil {
		t.log.Debug("collector not reached", "node", owner.Name, "err", err)
		t.mu.Lock()
		defer t.mu.Unlock()
		t.avoidUntil[owner.Name] = time.Now().Add(collectorAvoidDuration)
		return tablestore.ErrOutcomeUnknown
	}
	switch {
	case answer.Committed:
		return nil
	case len(answer.Conflicts) > 0:
		return &tablestore.ConflictError{Rows: answer.Conflicts}
	case answer.NotApplied:
		return tablestore.ErrNotApplied
	default:
		return tablestore.ErrOutcomeUnknown
	}
}

// Read implements control.Table.
func (t *claimTable) Read(ctx context.Context, keys ...string) ([]tablestore.Row, error) {
	return t.table.Read(ctx, keys...)
}

// collector picks the collector of a transaction. ok is false if there is none or
// it is being bypassed.
func (t *claimTable) collector(txn tablestore.Txn) (owner control.Member, ok bool) {
	h := fnv.New32a()
	_, _ = h.Write([]byte(txn.Puts[0].Key)) // A hash's Write never returns an error.
	duty := "collector/" + strconv.Itoa(int(h.Sum32()%control.Collectors))
	owner, ok = control.Owner(t.members.Working(), duty)
	if !ok {
		return owner, false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return owner, !time.Now().Before(t.avoidUntil[owner.Name])
}

// commit commits a peer's transaction as its collector.
func (n *Node) commit(ctx context.Context, txn tablestore.Txn) (answer commitAnswer, err error) {
	err = n.Collector.Commit(ctx, txn)
	var conflict *tablestore.ConflictError
	switch {
	case err == nil:
		answer.Committed = true
	case errors.As(err, &conflict):
		answer.Conflicts = conflict.Rows
	case errors.Is(err, tablestore.ErrNotApplied):
		answer.NotApplied = true
	}
	return answer, nil
}
