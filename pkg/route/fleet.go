package route

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/drumpath/drumpath/pkg/locks"
)

// Fleet is this node's view of the model engines.
type Fleet struct {
	mu             locks.Mutex
	rng            *rand.Rand
	replicas       map[string]*replicaState
	byModel        map[string][]*replicaState
	nextRoundRobin int
	leaving        map[string]bool // Replicas that the platform lists as leaving.
	// polled maps a model to the replicas whose load this node polls.
	polled map[string][]*replicaState
	// medianWait is the last result of MedianWait.
	medianWait time.Duration
}

// NewFleet returns an empty fleet.
func NewFleet(rng *rand.Rand) *Fleet {
	return &Fleet{rng: rng, replicas: map[string]*replicaState{}, byModel: map[string][]*replicaState{}}
}

// Configure sets the list of replicas. State of replicas that stay is kept.
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

// Report records a load report, unless a newer one has arrived already.
func (f *Fleet) Report(name string, r Report) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if state, ok := f.replicas[name]; ok && r.Taken.After(state.report.Taken) {
		state.report = r
	}
}

// SetPolled sets the replicas whose load this node polls. In a large fleet these are few,
// and requests for which no replica has anything cached are placed among them only: a
// replica without reports would look idle.
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

// uncachedCandidates returns the replicas for a request for which none has anything
// cached; the caller holds mu.
func (f *Fleet) uncachedCandidates(model string) []*replicaState {
	if polled := f.polled[model]; len(polled) > 0 {
		return polled
	}
	return f.byModel[model]
}

// reportMaxAge is the age of a report from which a replica's wait is assumed to be at
// least the median of the others.
const reportMaxAge = 10 * time.Second

// estimatedWait estimates how long a new request waits at a replica; the caller holds mu.
func (f *Fleet) estimatedWait(r *replicaState, now time.Time) time.Duration {
	w := r.wait(now)
	if now.Sub(r.report.Taken) > reportMaxAge {
		return max(w, f.medianWait)
	}
	return w
}

// SetLeaving sets the replicas that the platform lists as leaving.
func (f *Fleet) SetLeaving(names []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.leaving = make(map[string]bool, len(names))
	for _, name := range names {
		f.leaving[name] = true
	}
}

// Slots returns the sum of the slots of all replicas.
func (f *Fleet) Slots() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	sum := 0
	for _, r := range f.replicas {
		sum += r.slots()
	}
	return sum
}

// medianWaitSample bounds the number of replicas that MedianWait samples.
const medianWaitSample = 256

// MedianWait returns the median wait of a new request for its prefill, over the replicas
// with a recent report, or a random sample of them in a large fleet. Unlike the mean, it
// is not dominated by a single overloaded replica.
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

// ReplicaStatus is the state of one replica in a dump.
type ReplicaStatus struct {
	Name     string        `json:"name"`
	DataHall string        `json:"data_hall"`
	Model    string        `json:"model"`
	Report   Report        `json:"report"`
	InFlight int           `json:"in_flight"`
	Wait     time.Duration `json:"wait_ns"`
	Ejected  bool          `json:"ejected"`
}

// Status returns the state of all replicas, sorted by name.
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

// usable reports whether a request may be sent to a replica now; the caller holds mu.
func (f *Fleet) usable(r *replicaState, request *Request, now time.Time) bool {
	if r.Model != request.Model || r.report.Leaving || f.leaving[r.Name] || r.ejected(now) || slices.Contains(request.Exclude, r.Name) {
		return false
	}
	// A replica without a report may be tried; it refuses requests for other weights.
	return r.report.Weights == "" || r.report.Weights == request.Weights
}

// mayEject reports whether one more replica of a model may be ejected.
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

// Begin records that a request was sent to a replica. tokens is the number that it has to
// prefill.
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

// ServedWeights returns the weight version that a new request should use: the configured
// one if a replica serves it; otherwise, as during a swap, the one that most replicas
// serve.
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
