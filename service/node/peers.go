package node

import (
	"context"

	"github.com/drumpath/drumpath/pkg/control"
	"github.com/drumpath/drumpath/pkg/lang"
	"github.com/drumpath/drumpath/service/operator"
	"github.com/drumpath/drumpath/service/peer"
)

// Methods called between nodes to answer operators' queries.
const (
	methodRows    = "node.rows"
	methodVersion = "node.version"
)

type versionAnswer struct {
	Version uint64 `json:"version"`
}

// peerTables queries other nodes on behalf of the operator service.
type peerTables struct{ client *peer.Client }

// Rows returns a node's own rows of a table.
func (p peerTables) Rows(ctx context.Context, m control.Member, table string) (t lang.Table, err error) {
	err = p.client.Call(ctx, m.Peer, methodRows, operator.RowsRequest{Table: table}, &t)
	return t, err
}

// Version returns a node's configuration version.
func (p peerTables) Version(ctx context.Context, m control.Member) (uint64, error) {
	var a versionAnswer
	err := p.client.Call(ctx, m.Peer, methodVersion, struct{}{}, &a)
	return a.Version, err
}
