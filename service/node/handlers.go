package node

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"github.com/drumpath/drumpath/pkg/control"
	"github.com/drumpath/drumpath/pkg/prompt"
	"github.com/drumpath/drumpath/service/operator"
	"github.com/drumpath/drumpath/service/peer"
)

// registerHandlers registers the methods served to peers and operators.
func (n *Node) registerHandlers() {
	p := n.Peer
	p.Handle(peer.RolePeer, peer.MethodObserve, peer.Handle(n.observe))
	p.Handle(peer.RolePeer, peer.MethodLookup, peer.Handle(n.lookup))
	p.Handle(peer.RolePeer, peer.MethodUpdate, peer.Handle(n.update))
	p.Handle(peer.RolePeer, peer.MethodCommit, peer.Handle(n.commit))
	p.Handle(peer.RolePeer, peer.MethodSince, peer.Handle(n.since))
	p.Handle(peer.RolePeer, peer.MethodMembers, peer.Handle(n.listMembers))
	p.Handle(peer.RolePeer, peer.MethodLeaving, peer.Handle(n.setLeaving))
	p.Handle(peer.RolePeer, methodRows, peer.Handle(n.rows))
	p.Handle(peer.RolePeer, methodVersion, peer.Handle(n.version))
	p.Handle(peer.RoleOperator, peer.MethodRun, peer.Handle(n.Operator.Run))
	p.Handle(peer.RoleOperator, peer.MethodDump, peer.Handle(n.dump))
	p.Handle(peer.RoleOperator, peer.MethodLogLevel, peer.Handle(n.setLevel))
}

func (n *Node) observe(_ context.Context, req peer.ObserveRequest) (prompt.Match, error) {
	marks, err := req.Marks.Unpack()
	if err != nil {
		return prompt.Match{}, err
	}
	return n.Shard.Observe(marks, time.Now()), nil
}

func (n *Node) lookup(_ context.Context, req peer.ObserveRequest) (prompt.Match, error) {
	marks, err := req.Marks.Unpack()
	if err != nil {
		return prompt.Match{}, err
	}
	return n.Shard.Lookup(marks, time.Now()), nil
}

func (n *Node) update(_ context.Context, req peer.UpdateRequest) (struct{}, error) {
	return struct{}{}, n.Directory.Apply(req)
}

func (n *Node) since(_ context.Context, req peer.SinceRequest) (control.Delta, error) {
	return n.Config.Since(req.Version), nil
}

func (n *Node) listMembers(context.Context, struct{}) (peer.MembersAnswer, error) {
	return peer.MembersAnswer{
		Members:     n.Members.All(),
		LeavingNews: peer.LeavingNews{Leaving: n.Platform.leavingAddrs()},
	}, nil
}

func (n *Node) setLeaving(_ context.Context, news peer.LeavingNews) (struct{}, error) {
	n.Platform.setLeaving(news.Leaving)
	return struct{}{}, nil
}

func (n *Node) rows(_ context.Context, req operator.RowsRequest) (any, error) {
	t, ok := n.Operator.Local.Rows(req.Table)
	if !ok {
		return nil, eris.Errorf("no table %q", req.Table)
	}
	return t, nil
}

func (n *Node) version(context.Context, struct{}) (versionAnswer, error) {
	return versionAnswer{Version: n.Config.State().Version}, nil
}

// setLevel changes the log level of the running process.
func (n *Node) setLevel(_ context.Context, req peer.LogLevelRequest) (struct{}, error) {
	return struct{}{}, n.Level.UnmarshalText([]byte(req.Level))
}
