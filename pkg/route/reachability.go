package route

import (
	"time"

	"github.com/drumpath/drumpath/pkg/locks"
)

// Reachability decides when this node checks whether a replica can still be reached, and
// what the result means for the requests in flight there. It does no I/O.
//
// A check waits until the replica has been silent on all connections for CheckSilence and
// then makes a new connection, for which it has CheckTimeout. A replica that only paused
// accepts it, as its kernel does. Only replicas with requests in flight are checked, and
// only if something points to a fault: an error of this node, a report of another node, or
// a stream that pauses too long. Healthy replicas are not polled.
type Reachability struct {
	mu       locks.Mutex
	replicas map[string]*checkState // By the replica's ID.
	// aliveCredit is the number of checks after pauses and reports that may still find their
	// replica alive, as of creditAt.
	aliveCredit float64
	creditAt    time.Time
}

const (
	// CheckSilence is how long nothing may have come from a replica for a check to make a
	// connection.
	CheckSilence = 400 * time.Millisecond
	// EndSilence is how long nothing may have come from a replica for the requests there that can't
	// be sent again to end: a replica may fall silent for a second and go on.
	EndSilence = 1500 * time.Millisecond
	// CheckTimeout is the time for establishing it; it takes a few milliseconds.
	CheckTimeout = 300 * time.Millisecond
	// CheckRepeat is the time between two checks of a replica after pauses or reports, unless
	// this node was suspended or short of processor time during the first one.
	CheckRepeat = 2 * time.Second
	// GoneTerm is how long the result of a failed check is valid.
	GoneTerm = 2 * time.Second

	// minStreamPause is the least pause of a stream that leads to a check, and
	// streamPauseFactor how many allowed pauses it must have.
	minStreamPause    = 1500 * time.Millisecond
	streamPauseFactor = 4
	// maxAliveCredit and aliveCreditRate bound the checks after pauses and reports that
	// find their replica alive: each costs a connection, and under overload many streams
	// pause.
	maxAliveCredit  = 8.0
	aliveCreditRate = 1.0 // A second.
	// slowConnect is after what time without an answer a replica that is being checked
	// counts as unreachable when a node judges its own network.
	slowConnect = 100 * time.Millisecond
)

// CheckCause is why a replica is checked.
type CheckCause string

// Causes of checks.
const (
	// CheckAfterError: this node failed to reach it.
	CheckAfterError CheckCause = "error"
	// CheckAfterReport: another node failed to reach it.
	CheckAfterReport CheckCause = "report"
	// CheckAfterPause: a stream from it pauses.
	CheckAfterPause CheckCause = "pause"
	// CheckAfterEjection: it was ejected for a silence and would be used again.
	CheckAfterEjection CheckCause = "return"
)

// CheckResult is the result of a check.
type CheckResult string

// Results of checks.
const (
	// CheckAlive: the replica sent something or accepted the connection.
	CheckAlive CheckResult = "alive"
	// CheckGone: it can't be reached.
	CheckGone CheckResult = "gone"
	// CheckPartitioned: it can't be reached, but neither can most others, so this node's
	// own network is presumed to be at fault.
	CheckPartitioned CheckResult = "partitioned"
	// CheckInconclusive: this node itself was suspended or short of processor time.
	CheckInconclusive CheckResult = "inconclusive"
	// CheckUnneeded: its requests ended before the check did.
	CheckUnneeded CheckResult = "unneeded"
)

// checkState is what is known of the checks of one replica.
type checkState struct {
	running    bool
	cause      CheckCause
	connecting time.Time // When the running check began to connect; zero before.
	seenAt     time.Time // When a check was last requested or ended.
	endedAt    time.Time // End of the last check.
	// repeatAfter is the time from then to the next check after a pause or a report.
	repeatAfter time.Duration
	goneAt      time.Time // When it was last found unreachable, zero if it has been heard since.
	unresolved  bool      // The last check ended without a decision, or was postponed.
}

// NewReachability returns a Reachability without any replicas.
func NewReachability() *Reachability {
	return &Reachability{replicas: map[string]*checkState{}, aliveCredit: maxAliveCredit}
}

// Begin reports whether a check of a replica with requests in flight starts now. If so,
// Finish must be called.
func (r *Reachability) Begin(id string, cause CheckCause, inFlight int, now time.Time) bool {
	if inFlight == 0 {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.replicas[id]
	if s == nil {
		s = &checkState{}
		r.replicas[id] = s
	}
	s.seenAt = now
	switch {
	case s.running:
		return false
	case cause == CheckAfterError || cause == CheckAfterEjection:
		if !s.endedAt.IsZero() && now.Sub(s.endedAt) < CheckSilence {
			return false // The result is as recent as the error.
		}
	case !s.endedAt.IsZero() && now.Sub(s.endedAt) < s.repeatAfter:
		return false
	case !r.takeAliveCredit(now):
		s.unresolved = true
		return false
	}
	s.running, s.cause, s.connecting = true, cause, time.Time{}
	return true
}

// takeAliveCredit takes the credit for one check that may find its replica alive.
func (r *Reachability) takeAliveCredit(now time.Time) bool {
	if !r.creditAt.IsZero() {
		r.aliveCredit = min(maxAliveCredit, r.aliveCredit+aliveCreditRate*now.Sub(r.creditAt).Seconds())
	}
	r.creditAt = now
	if r.aliveCredit < 1 {
		return false
	}
	r.aliveCredit--
	return true
}

// Connecting records that the running check of a replica begins to connect.
func (r *Reachability) Connecting(id string, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s := r.replicas[id]; s != nil {
		s.connecting = now
	}
}

// Finish records the result of a check.
func (r *Reachability) Finish(id string, result CheckResult, connected bool, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.replicas[id]
	if s == nil {
		return
	}
	if !connected && (s.cause == CheckAfterPause || s.cause == CheckAfterReport) {
		r.aliveCredit = min(maxAliveCredit, r.aliveCredit+1) // It cost no connection.
	}
	s.running, s.connecting, s.endedAt, s.seenAt = false, time.Time{}, now, now
	s.repeatAfter = CheckRepeat
	if result == CheckInconclusive {
		s.repeatAfter = CheckSilence
	}
	// After a check without a decision it is tried again.
	s.unresolved = result == CheckPartitioned || result == CheckInconclusive
	switch result {
	case CheckGone, CheckPartitioned:
		s.goneAt = now
	case CheckAlive:
		s.goneAt = time.Time{}
	}
}

// Unresolved reports whether a replica must still be checked while its requests stay in
// flight: the last check ended without a decision or was postponed.
func (r *Reachability) Unresolved(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.replicas[id]
	return s != nil && s.unresolved && !s.running
}

// Unreachable returns the replicas that seem unreachable now: those found so within a time,
// and those that have not answered a running check for slowConnect.
func (r *Reachability) Unreachable(within time.Duration, now time.Time) map[string]bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := map[string]bool{}
	for id, s := range r.replicas {
		found := !s.goneAt.IsZero() && now.Sub(s.goneAt) < within
		slow := s.running && !s.connecting.IsZero() && now.Sub(s.connecting) >= slowConnect
		if found || slow {
			list[id] = true
		}
	}
	return list
}

// Forget drops the state of replicas that have not been checked recently.
func (r *Reachability) Forget(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, s := range r.replicas {
		if !s.running && now.Sub(s.seenAt) > 2*CheckRepeat {
			delete(r.replicas, id)
		}
	}
}

// StreamState is what is known of a stream in flight when its pause is judged.
type StreamState struct {
	StartedAt time.Time
	// LastBytesAt is when bytes of its body last arrived, zero before the first.
	LastBytesAt time.Time
	// Expected is the expected time to the first event, and AllowedPause the route's
	// longest allowed pause between events.
	Expected     time.Duration
	AllowedPause time.Duration
}

// Overdue reports whether the stream pauses so long that its replica is checked.
func (s *StreamState) Overdue(now time.Time) bool {
	if s.LastBytesAt.IsZero() {
		return now.Sub(s.StartedAt) > s.Expected+minStreamPause
	}
	return now.Sub(s.LastBytesAt) > max(streamPauseFactor*s.AllowedPause, minStreamPause)
}

// NetworkEvidence is what a node knows of its own network when a replica failed a check.
type NetworkEvidence struct {
	Replicas int // All replicas of all services.
	// Unreachable counts those that seem unreachable, with the checked one, and Failed those
	// of them that were found so since the check began to connect.
	Unreachable int
	Failed      int
	Heard       int // Those heard since then.
	// SampleReached and SampleFailed count the others to which a connection was made for
	// this decision.
	SampleReached int
	SampleFailed  int
}

// PartitionSample is the number of replicas, drawn at random, to which a node connects to
// learn about its own network.
const PartitionSample = 8

// NeedsSample reports whether the node must connect to others to learn about its network.
// It need not if at least as many replicas were heard as failed during the check.
func (e *NetworkEvidence) NeedsSample() bool {
	return e.Failed > e.Heard && e.SampleReached+e.SampleFailed == 0
}

// Partitioned reports whether more than half of all replicas seem unreachable, so that the
// node presumes its own network to be at fault. Replicas about which nothing is known
// count with the share of the sample that was not reached.
func (e *NetworkEvidence) Partitioned() bool {
	if e.Failed <= e.Heard {
		return false
	}
	unknown := max(0, e.Replicas-e.Unreachable-e.Heard)
	share := 0.0
	if sample := e.SampleReached + e.SampleFailed; sample > 0 {
		share = float64(e.SampleFailed) / float64(sample)
	}
	return 2*(float64(e.Unreachable)+share*float64(unknown)) > float64(e.Replicas)
}
