package node

import (
	"github.com/drumpath/drumpath/pkg/control"
	"github.com/drumpath/drumpath/pkg/prompt"
	"github.com/drumpath/drumpath/service/peer"
)

// shardUpdates collects directory updates about one upstream by shard owner, so
// that each owner gets a single message.
type shardUpdates struct {
	upstream      string
	owners        map[string]control.Member
	requests      map[string]*peer.UpdateRequest
	ownerByAnchor map[prompt.Key]control.Member
}

func newShardUpdates(upstream string) *shardUpdates {
	return &shardUpdates{
		upstream:      upstream,
		owners:        map[string]control.Member{},
		requests:      map[string]*peer.UpdateRequest{},
		ownerByAnchor: map[prompt.Key]control.Member{},
	}
}

// owner returns the owner of an anchor's shard. It caches the result, as a batch
// names the same anchors many times and the search is linear in the members.
func (u *shardUpdates) owner(d *Directory, anchor prompt.Key) (control.Member, bool) {
	if m, known := u.ownerByAnchor[anchor]; known {
		return m, true
	}
	m, ok := d.owner(anchor)
	if ok {
		u.ownerByAnchor[anchor] = m
	}
	return m, ok
}

// requestFor returns the message that collects updates for an owner.
func (u *shardUpdates) requestFor(owner control.Member) *peer.UpdateRequest {
	req, ok := u.requests[owner.Name]
	if !ok {
		req = &peer.UpdateRequest{Upstream: u.upstream}
		u.owners[owner.Name] = owner
		u.requests[owner.Name] = req
	}
	return req
}

// sendAll queues all messages for sending.
func (u *shardUpdates) sendAll(d *Directory) {
	for name, req := range u.requests {
		d.enqueueUpdate(u.owners[name], *req)
	}
}

// reset tells every member to drop its entries for the upstream.
func (u *shardUpdates) reset(members []control.Member) {
	for _, m := range members {
		u.requestFor(m).Reset = true
	}
}

// indexedBlock is what an engineWatch remembers of one block of a KV cache.
type indexedBlock struct {
	anchor   prompt.Key
	position int32
}
