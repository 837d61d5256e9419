package node

import (
	"github.com/drumpath/drumpath/pkg/control"
	"github.com/drumpath/drumpath/pkg/locks"
)

// dutyInputs detects changes of the members and the upstreams, from which a node's
// duties are computed. Computing them costs members times upstreams, so callers do
// it only after a change.
type dutyInputs struct {
	members   *control.Members
	upstreams *Upstreams

	mu         locks.Mutex
	generation uint64
	version    uint64
	known      bool
}

// changed reports whether the members or the upstreams have changed since it last
// returned true. The first call returns true.
func (d *dutyInputs) changed() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	generation, version := d.members.Generation(), d.upstreams.Version()
	if d.known && generation == d.generation && version == d.version {
		return false
	}
	d.known, d.generation, d.version = true, generation, version
	return true
}
