package node

import (
	"github.com/drumpath/drumpath/pkg/control"
	"github.com/drumpath/drumpath/pkg/prompt"
	"github.com/drumpath/drumpath/service/peer"
)

// shardUpdates collects news of one upstream by the holder of its shard, so
// that each holder gets one message.
type shardUpdates struct {
	upstream string
	owners   map[string]control.Member
	requests map[string]*peer.UpdateRequest
	byAnchor map[prompt.Key]control.Member
}

func newShardUpdates(upstream string) *shardUpdates {
	return &shardUpdates{
		upstream: upstream,
		owners:   map[string]control.Member{},
		requests: map[string]*peer.UpdateRequest{},
		byAnchor: map[prompt.Key]control.Member{},
	}
}

// owner returns the holder of an anchor's shard. A batch names the same anchors
// many times, and finding a holder takes as long as the fleet is large.
func (u *shardUpdates) owner(d *Directory, anchor prompt.Key) (control.Member, bool) {
	if m, known := u.byAnchor[anchor]; known {
		return m, true
	}
	m, ok := d.owner(anchor)
	if ok {
		u.byAnchor[anchor] = m
	}
	return m, ok
}

// to returns the message to a holder.
func (u *shardUpdates) to(owner control.Member) *peer.UpdateRequest {
	req, ok := u.requests[owner.Name]
	if !ok {
		req = &peer.UpdateRequest{Upstream: u.upstream}
		u.owners[owner.Name] = owner
		u.requests[owner.Name] = req
	}
	return req
}

// send passes all messages on.
func (u *shardUpdates) send(d *Directory) {
	for name, req := range u.requests {
		d.updateAt(u.owners[name], *req)
	}
}

// reset tells every member to drop what it knows of the upstream.
func (u *shardUpdates) reset(members []control.Member) {
	for _, m := range members {
		u.to(m).Reset = true
	}
}

// indexedBlock is what a watcher keeps of one block of an engine's cache.
type indexedBlock struct {
	anchor   prompt.Key
	position int32
}
