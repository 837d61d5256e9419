package node

import (
	"sync"

	"github.com/drumpath/drumpath/pkg/control"
)

// duties remembers which duties are this node's, until the fleet or the
// upstreams change: working that out costs a look at every pair of both.
type duties struct {
	members   *control.Members
	upstreams *Upstreams

	mu         sync.Mutex
	generation uint64
	version    uint64
	known      bool
}

// stale says whether the fleet or the upstreams have changed since the last
// call that said so.
func (d *duties) stale() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	generation, version := d.members.Generation(), d.upstreams.Version()
	if d.known && generation == d.generation && version == d.version {
		return false
	}
	d.known, d.generation, d.version = true, generation, version
	return true
}
