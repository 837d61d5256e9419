package route

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

// Fleet is this node's view of the model engines.
type Fleet struct {
	mu             sync.Mutex
	rng            *rand.Rand
	replicas       map[string]*replicaState
	byModel        map[string][]*replicaState
	nextRoundRobin int // For round robin.
	leaving        map[string]bool
	// polled are, by model, the replicas whose load this node asks for.
	polled map[string][]*replicaState
	// medianWait is the last result of MedianWait.
	medianWait time.Duration
}

// NewFleet returns an empty view.
func NewFleet(rng *rand.Rand) *Fleet {
	return &Fleet{rng: rng, replicas: map[string]*replicaState{}, byModel: map[string][]*replicaState{}}
}

// Configure sets which replicas there are; what is known of those that stay is
// kept.
func (f *Fleet) Configure(list []Replica, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	old := f.replicas
	f.replicas = make(map[string]*replicaState, len(list))
	f.byModel = map[string][]*replicaState{}
	for _, r := range list {
		state, ok := old[r.Name]
		if !ok || state.Replica != r {
			state = newReplicaState(r, now)
		}
		f.replicas[r.Name] = state
		f.byModel[r.Model] = append(f.byModel[r.Model], state)
	}
}

// Report takes in a load report; an older one than the last is ignored.
func (f *Fleet) Report(name string, r Report) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if state, ok := f.replicas[name]; ok && r.Taken.After(state.report.Taken) {
		state.report = r
	}
}

// SetPolled sets whose load this node asks for. In a large fleet these are few,
// and requests that no replica holds anything for are placed among them: of the
// others nothing is known, and no news would look like no load.
func (f *Fleet) SetPolled(names []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.polled = map[string][]*replicaState{}
	for _, name := range names {
		if r, ok := f.replicas[name]; ok {
			f.polled[r.Model] = append(f.polled[r.Model], r)
		}
	}
}

// uncachedCandidates is where a request goes that no replica holds anything for; the caller
// holds mu.
func (f *Fleet) uncachedCandidates(model string) []*replicaState {
	if polled := f.polled[model]; len(polled) > 0 {
		return polled
	}
	return f.byModel[model]
}

// reportMaxAge is how old a report may be before the median of others is believed
// rather than it.
const reportMaxAge = 10 * time.Second

// estimatedWait estimates what a new request waits at a replica; the caller holds mu.
func (f *Fleet) estimatedWait(r *replicaState, now time.Time) time.Duration {
	w := r.wait(now)
	if now.Sub(r.report.Taken) > reportMaxAge {
		return max(w, f.medianWait)
	}
	return w
}

// SetLeaving sets which replicas are leaving by the platform's list.
func (f *Fleet) SetLeaving(names []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.leaving = make(map[string]bool, len(names))
	for _, name := range names {
		f.leaving[name] = true
	}
}

// Slots is the sum of the slots of all replicas.
func (f *Fleet) Slots() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	sum := 0
	for _, r := range f.replicas {
		sum += r.slots()
	}
	return sum
}

// medianWaitSample bounds the replicas that MedianWait looks at.
const medianWaitSample = 256

// MedianWait is the median of what a new request would wait for a prefill, over
// replicas that have reported, or a random part of them in a large fleet. The
// mean would let one crowded replica stand for all.
func (f *Fleet) MedianWait(now time.Time) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	waits := make([]time.Duration, 0, min(len(f.replicas), medianWaitSample))
	for _, r := range f.replicas {
		if r.report.Weights != "" && !r.ejected(now) && now.Sub(r.report.Taken) <= reportMaxAge {
			waits = append(waits, r.wait(now))
		}
		if len(waits) == medianWaitSample {
			break
		}
	}
	f.medianWait = 0
	if len(waits) > 0 {
		slices.Sort(waits)
		f.medianWait = waits[len(waits)/2]
	}
	return f.medianWait
}

// ReplicaStatus is what a dump shows of one replica.
type ReplicaStatus struct {
	Name     string        `json:"name"`
	DataHall string        `json:"data_hall"`
	Model    string        `json:"model"`
	Report   Report        `json:"report"`
	InFlight int           `json:"in_flight"`
	Wait     time.Duration `json:"wait_ns"`
	Ejected  bool          `json:"ejected"`
}

// Status lists all replicas, by name.
func (f *Fleet) Status(now time.Time) []ReplicaStatus {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []ReplicaStatus
	for _, r := range f.replicas {
		list = append(list, ReplicaStatus{
			Name:     r.Name,
			DataHall: r.DataHall,
			Model:    r.Model,
			Report:   r.report,
			InFlight: len(r.inFlight),
			Wait:     r.wait(now),
			Ejected:  r.ejected(now),
		})
	}
	slices.SortFunc(list, func(a, b ReplicaStatus) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	return list
}

// usable says whether a request may go to a replica now; the caller holds mu.
func (f *Fleet) usable(r *replicaState, q *Request, now time.Time) bool {
	if r.Model != q.Model || r.report.Leaving || f.leaving[r.Name] || r.ejected(now) || slices.Contains(q.Exclude, r.Name) {
		return false
	}
	// An unreported replica may be tried; it refuses other weights itself.
	return r.report.Weights == "" || r.report.Weights == q.Weights
}

// mayEject says whether one more replica of a model may be ejected.
func (f *Fleet) mayEject(model string, now time.Time) bool {
	all := f.byModel[model]
	ejected := 1
	for _, r := range all {
		if r.ejected(now) {
			ejected++
		}
	}
	return float64(ejected) <= maxEjectedShare*float64(len(all))
}

// Begin records that a request was sent to a replica; tokens are those it has
// to compute.
func (f *Fleet) Begin(name string, tokens int, now time.Time) *InFlightRun {
	f.mu.Lock()
	defer f.mu.Unlock()
	run := &InFlightRun{fleet: f, replica: name, startedAt: now, tokens: tokens}
	if r, ok := f.replicas[name]; ok {
		r.inFlight[run] = struct{}{}
	}
	return run
}

// ReportOf returns the last load report of a replica.
func (f *Fleet) ReportOf(name string) Report {
	f.mu.Lock()
	defer f.mu.Unlock()
	if r, ok := f.replicas[name]; ok {
		return r.report
	}
	return Report{}
}

// ServedWeights returns the weight version that a new request should use: the
// configured one if a replica serves it, else, while the fleet is being
// swapped, the one that most replicas serve.
func (f *Fleet) ServedWeights(model, configured string) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	counts := map[string]int{}
	for _, r := range f.byModel[model] {
		if r.report.Weights != "" && !r.report.Leaving {
			counts[r.report.Weights]++
		}
	}
	best := configured
	if counts[configured] > 0 {
		return best
	}
	for weights, n := range counts {
		if n > counts[best] || (n == counts[best] && weights > best) {
			best = weights
		}
	}
	return best
}
