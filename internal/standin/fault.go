package standin

import (
	"sync"
	"time"
)

// Fault describes what a stand-in does wrong until the next Fault is set.
type Fault struct {
	// LatencyMillis is added to each answer.
	LatencyMillis int64 `json:"latency_ms"`
	// HoldMillis is how long a plain service takes to execute each call.
	HoldMillis int64 `json:"hold_ms"`
	// Down closes each connection without an answer and without executing the
	// call.
	Down bool `json:"down"`
	// LoseAnswers is how many of the next calls are executed but not answered.
	LoseAnswers int `json:"lose_answers"`
	// LateMillis delays the execution of the calls of LoseAnswers.
	LateMillis int64 `json:"late_ms"`
	// Path limits the fault to one path.
	Path string `json:"path"`
	// LinkFactor multiplies link rates; 0 leaves them unchanged.
	LinkFactor float64 `json:"link_factor"`
	// BreakAfter makes an engine cut off each answer after this many tokens; 0
	// disables it.
	BreakAfter int `json:"break_after"`
	// SkipEvents makes an engine drop all further cache events; only their
	// missing numbers show it.
	SkipEvents bool `json:"skip_events"`
	// CrossAnswers makes an engine answer with a wrong request id.
	CrossAnswers bool `json:"cross_answers"`
	// PartialPut makes a store lose the last block of each object written to it.
	PartialPut bool `json:"partial_put"`
	// Restart clears the stand-in's contents and starts a new boot epoch.
	Restart bool `json:"restart"`
	// Leaving makes the stand-in report that its VM is leaving.
	Leaving bool `json:"leaving"`
}

// currentFault is the Fault in effect at one stand-in.
type currentFault struct {
	mu    sync.Mutex
	fault Fault
}

func (s *currentFault) set(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
}

func (s *currentFault) get() Fault {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fault
}

// faultEffect describes how a fault affects one call.
type faultEffect struct {
	latency        time.Duration
	dropCall       bool // Neither executed nor answered.
	loseAnswer     bool // Executed but not answered.
	executionDelay time.Duration
}

// applyTo returns how the fault affects a call of path, and counts the call
// towards LoseAnswers.
func (s *currentFault) applyTo(path string) faultEffect {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.fault.Path != "" && s.fault.Path != path {
		return faultEffect{}
	}
	effect := faultEffect{
		latency:  time.Duration(s.fault.LatencyMillis) * time.Millisecond,
		dropCall: s.fault.Down,
	}
	if !effect.dropCall && s.fault.LoseAnswers > 0 {
		s.fault.LoseAnswers--
		effect.loseAnswer = true
		effect.executionDelay = time.Duration(s.fault.LateMillis) * time.Millisecond
	}
	return effect
}
