package standin

import (
	"sync"
	"time"
)

// Fault is what a stand-in does wrong, until the next one is set.
type Fault struct {
	// LatencyMillis is added to each answer.
	LatencyMillis int64 `json:"latency_ms"`
	// HoldMillis is for how long a plain service works on each call.
	HoldMillis int64 `json:"hold_ms"`
	// Down closes each connection without an answer, and nothing takes effect.
	Down bool `json:"down"`
	// LoseAnswers is how many of the next calls take effect unanswered.
	LoseAnswers int `json:"lose_answers"`
	// LateMillis is after how long the calls of LoseAnswers take effect.
	LateMillis int64 `json:"late_ms"`
	// Path limits the fault to one path.
	Path string `json:"path"`
	// LinkFactor multiplies link rates, 0 for 1.
	LinkFactor float64 `json:"link_factor"`
	// BreakAfter has an engine break off runs after so many tokens, 0 for not.
	BreakAfter int `json:"break_after"`
	// SkipEvents has an engine drop all further cache events unannounced.
	SkipEvents bool `json:"skip_events"`
	// CrossAnswers has an engine answer under a wrong request id.
	CrossAnswers bool `json:"cross_answers"`
	// PartialPut has a store lose the last block of each object put into it.
	PartialPut bool `json:"partial_put"`
	// Restart clears what the stand-in holds and starts a new boot epoch.
	Restart bool `json:"restart"`
	// Leaving says the VM is leaving.
	Leaving bool `json:"leaving"`
}

// faults is the current Fault of one stand-in.
type faults struct {
	mu sync.Mutex
	f  Fault
}

func (s *faults) set(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.f = f
}

func (s *faults) get() Fault {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.f
}

// verdict says what happens to one call.
type verdict struct {
	wait time.Duration
	drop bool // No effect and no answer.
	lose bool // Effect, no answer.
	late time.Duration
}

func (s *faults) judge(path string) verdict {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.f.Path != "" && s.f.Path != path {
		return verdict{}
	}
	v := verdict{
		wait: time.Duration(s.f.LatencyMillis) * time.Millisecond,
		drop: s.f.Down,
	}
	if !v.drop && s.f.LoseAnswers > 0 {
		s.f.LoseAnswers--
		v.lose = true
		v.late = time.Duration(s.f.LateMillis) * time.Millisecond
	}
	return v
}
