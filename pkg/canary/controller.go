package canary

import (
	"time"

	"github.com/drumpath/drumpath/pkg/site"
)

// Controller leads one roll-out on the node that owns it. Any other node can go on from the
// elapsed time and the counts that all nodes report.
type Controller struct {
	order    site.RolloutOrder
	detector *Detector
	decided  site.RolloutState
	why      string
}

// NewController returns the controller of an order.
func NewController(o site.RolloutOrder) *Controller {
	return &Controller{order: o, detector: NewDetector()}
}

// Report is what all nodes together report.
type Report struct {
	Elapsed time.Duration // Since the order.
	Total   Stats
	// OldInFlight is the number of requests in flight at replicas of other versions.
	OldInFlight int
}

// Decision is what holds at all nodes from now on.
type Decision struct {
	// Stage determines the share of the new version, see ShareOf.
	Stage int
	// State is the state to agree on. Nodes act on a final one only once it is agreed, but
	// stop sending to a new version that is to be rolled back at once.
	State site.RolloutState
	Why   string
}

// Step takes what the nodes report and returns what is to hold. A state that was once decided
// stays.
func (c *Controller) Step(r *Report) Decision {
	if c.decided == site.RolloutRunning {
		c.decide(r)
	}
	d := Decision{Stage: stageAt(r.Elapsed, c.order.Duration), State: c.decided, Why: c.why}
	switch {
	case c.decided == site.RolloutRolledBack:
		d.Stage = StageHalted
	case c.decided == site.RolloutRunning && c.detector.Suspicious():
		d.Stage = heldStage
	}
	return d
}

func (c *Controller) decide(r *Report) {
	if bad, why := c.detector.Observe(r.Total); bad {
		c.decided, c.why = site.RolloutRolledBack, why
		return
	}
	share := float64(r.Elapsed) / float64(max(1, c.order.Duration))
	idle := share >= stages[len(stages)-1].until && r.OldInFlight == 0
	switch {
	case c.detector.Suspicious() && share >= holdUntil:
		c.decided, c.why = site.RolloutRolledBack, "signs of a bad version were left at the end"
	case c.detector.Suspicious():
	case idle, share >= latestCompletion:
		c.decided, c.why = site.RolloutCompleted, "no sign that the new version is worse"
	}
}
