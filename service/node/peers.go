package node

import (
	"context"

	"github.com/drumpath/drumpath/pkg/control"
	"github.com/drumpath/drumpath/pkg/lang"
	"github.com/drumpath/drumpath/service/operator"
	"github.com/drumpath/drumpath/service/peer"
)

// Methods between nodes that serve operators' queries.
const (
	methodRows    = "node.rows"
	methodVersion = "node.version"
)

type versionAnswer struct {
	Version uint64 `json:"version"`
}

// peers asks other nodes for operators.
type peers struct{ client *peer.Client }

// Rows implements the operator service's peers.
func (p peers) Rows(ctx context.Context, m control.Member, table string) (t lang.Table, err error) {
	err = p.client.Call(ctx, m.Peer, methodRows, operator.RowsRequest{Table: table}, &t)
	return t, err
}

// Version implements the operator service's peers.
func (p peers) Version(ctx context.Context, m control.Member) (uint64, error) {
	var a versionAnswer
	err := p.client.Call(ctx, m.Peer, methodVersion, struct{}{}, &a)
	return a.Version, err
}
