package canary

import (
	"fmt"
	"maps"
	"math"
	"slices"
)

// The new version is compared with the old one by a sequential test, which may be looked at
// after every report. For each route, and for all routes together, it bets that the new version
// fails, or is slow, more often than a bound that the old version's rate stays under. While
// that is not so the capital of the bets does not grow on average. New bets are opened at
// each look, so that a version that turns bad late is found as fast as one that is bad from
// the start. By Ville's inequality the sum of bets opened in n looks exceeds a threshold with a
// probability of at most n over the threshold.
const (
	// evidenceThreshold is that threshold. With 40 looks and five routes, which make
	// 18 tests, a good version is rolled back with a probability of at most 0.018.
	evidenceThreshold = 4e4
	// suspicionThreshold is the capital from which the new version gets no further.
	suspicionThreshold = 50
	// failureMargin, slowMargin and marginShare are added to the old version's rates: a new one
	// that is worse by less is not rolled back. Replicas that have just started are slower.
	failureMargin = 0.02
	slowMargin    = 0.08
	marginShare   = 0.15
	// confidence is the number of standard deviations by which the rate of the old version
	// may be underestimated.
	confidence = 2.0
	// slowSteps is by how many buckets a duration must exceed the median of the old version to
	// be slow, a factor of 2.25.
	slowSteps = 2
	// minOldCount is the least number of outcomes of the old version to compare with.
	minOldCount = 10
)

// betSizes are the bets, as shares of the largest one allowed.
var betSizes = [...]float64{0.1, 0.25, 0.5}

// Detector finds out whether the new version is bad.
type Detector struct {
	bets     map[string]*bets
	previous map[string]RouteStats
	// highest is the highest capital at the last look.
	highest float64
}

// Suspicious reports whether the last look showed signs of a bad version, short of a verdict.
func (d *Detector) Suspicious() bool { return d.highest >= suspicionThreshold }

// NewDetector returns a detector without evidence.
func NewDetector() *Detector {
	return &Detector{bets: map[string]*bets{}, previous: map[string]RouteStats{}}
}

// Observe takes the counts of all nodes since the start and reports whether the new version is
// bad, and why.
func (d *Detector) Observe(total Stats) (bad bool, why string) {
	d.highest = 0
	for _, route := range slices.Sorted(maps.Keys(total)) {
		if bad, why = d.observeRoute("route "+route, total[route]); bad {
			return bad, why
		}
	}
	overall := total.overall()
	return d.observeRoute("all routes", &overall)
}

func (d *Detector) observeRoute(name string, r *RouteStats) (bad bool, why string) {
	previous := d.previous[name]
	d.previous[name] = *r
	o, n, before := &r[ArmOld], &r[ArmNew], &previous[ArmNew]
	if n.Count < before.Count || o.Count < minOldCount {
		return false, ""
	}
	answered, answeredBefore := n.Count-n.Failed, before.Count-before.Failed
	if d.bet(name+" failures", rate{o.Failed, o.Count}, rate{n.Failed - before.Failed, n.Count - before.Count}, failureMargin) {
		return true, fmt.Sprintf("%s: %d of %d requests failed, of the old version %d of %d", name, n.Failed, n.Count, o.Failed, o.Count)
	}
	durations := []struct {
		what              string
		old, now, earlier *Durations
	}{{"first bytes", &o.FirstByte, &n.FirstByte, &before.FirstByte}, {"pauses", &o.Pause, &n.Pause, &before.Pause}}
	for _, t := range durations {
		slow := slowBucket(t.old, o.Count-o.Failed)
		late := rate{t.now.from(slow) - t.earlier.from(slow), answered - answeredBefore}
		if d.bet(name+" "+t.what, rate{t.old.from(slow), o.Count - o.Failed}, late, slowMargin) {
			return true, fmt.Sprintf("%s: %d of %d %s are slow, of the old version %d of %d", name,
				t.now.from(slow), answered, t.what, t.old.from(slow), o.Count-o.Failed)
		}
	}
	return false, ""
}

// slowBucket returns the bucket from which on durations count as slow.
func slowBucket(d *Durations, count int) int {
	below := 0
	for i := range d {
		if below += d[i]; 2*below >= count {
			return i + 1 + slowSteps
		}
	}
	return durationBuckets
}

// rate is a number of events among a number of requests.
type rate struct{ events, count int }

// upper returns a rate that the true one rarely exceeds.
func (r rate) upper() float64 {
	n := float64(r.count)
	p := float64(r.events) / n
	z := confidence * confidence
	center := p + z/(2*n)
	spread := confidence * math.Sqrt(p*(1-p)/n+z/(4*n*n))
	return min(1, (center+spread)/(1+z/n))
}

// bet settles the bets on newly arrived outcomes and reports whether their capital exceeds the
// threshold.
func (d *Detector) bet(name string, old, arrived rate, margin float64) bool {
	if arrived.count < 0 || old.count < minOldCount {
		return false
	}
	bound := old.upper()
	bound += margin + marginShare*bound
	if bound >= 1 {
		return false
	}
	b := d.bets[name]
	if b == nil {
		b = &bets{}
		d.bets[name] = b
	}
	capital := b.settle(bound, arrived)
	d.highest = max(d.highest, capital)
	return capital > evidenceThreshold
}

// bets is the capital of the bets of each size.
type bets [len(betSizes)]float64

// settle opens new bets of 1, settles all of them on the outcomes that arrived and returns the
// mean capital.
func (b *bets) settle(bound float64, arrived rate) (mean float64) {
	for i, size := range betSizes {
		if arrived.count == 0 { // Nothing to bet on.
			mean += b[i] / float64(len(betSizes))
			continue
		}
		stake := size / bound
		growth := float64(arrived.events)*math.Log1p(stake*(1-bound)) + float64(arrived.count-arrived.events)*math.Log1p(-stake*bound)
		b[i] = min(math.MaxFloat32, (1+b[i])*math.Exp(growth))
		mean += b[i] / float64(len(betSizes))
	}
	return mean
}
