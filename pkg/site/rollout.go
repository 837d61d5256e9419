package site

import (
	"time"

	"github.com/drumpath/drumpath/pkg/history"
)

// RolloutOrder is an operator's order to move the traffic of a service to the replicas of a
// version of its software.
type RolloutOrder struct {
	Service  string
	Version  string        // The version that is to take over.
	Duration time.Duration // Within which the roll-out is to be completed.
	// Position is that of the order's row.
	Position history.Position
}

// RolloutState is the state of a roll-out.
type RolloutState int

// States of a roll-out. The last two are final.
const (
	RolloutRunning RolloutState = iota
	// RolloutCompleted: all traffic goes to the new version, and the replicas of the old one
	// stop at once.
	RolloutCompleted
	// RolloutRolledBack: the new version gets no traffic.
	RolloutRolledBack
)

// String returns the state's name.
func (s RolloutState) String() string {
	switch s {
	case RolloutCompleted:
		return "completed"
	case RolloutRolledBack:
		return "rolled back"
	default:
		return "running"
	}
}

// Final reports whether the state never changes again.
func (s RolloutState) Final() bool { return s != RolloutRunning }

// RolloutStatus is the state of a roll-out as nodes have agreed on it.
type RolloutStatus struct {
	Service string
	Version string
	State   RolloutState
	// Position is that of the row.
	Position history.Position
}
