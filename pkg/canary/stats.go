package canary

import (
	"encoding/json"
	"errors"
	"math"
	"time"
)

// Arm is one of the two sides that are compared.
type Arm int

// Arms.
const (
	ArmOld Arm = iota
	ArmNew
	armCount
)

const (
	// durationBuckets is the number of buckets of a histogram. Bucket i holds durations from
	// bucketRatio to the power of i milliseconds on, so the last one begins at 190 s.
	durationBuckets = 31
	bucketRatio     = 1.5
)

// Durations is a histogram of durations.
type Durations [durationBuckets]int

// MarshalJSON encodes the number of the first bucket that is not empty and the counts from it
// to the last one.
func (d Durations) MarshalJSON() ([]byte, error) {
	first, last := 0, durationBuckets
	for first < last && d[first] == 0 {
		first++
	}
	for last > first && d[last-1] == 0 {
		last--
	}
	return json.Marshal(append([]int{first}, d[first:last]...))
}

// UnmarshalJSON is the reverse of MarshalJSON.
func (d *Durations) UnmarshalJSON(text []byte) error {
	var list []int
	if err := json.Unmarshal(text, &list); err != nil {
		return err
	}
	*d = Durations{}
	if len(list) == 0 {
		return nil
	}
	first, counts := list[0], list[1:]
	if first < 0 || first+len(counts) > durationBuckets {
		return errors.New("histogram has buckets out of range")
	}
	copy(d[first:], counts)
	return nil
}

// add counts a duration.
func (d *Durations) add(t time.Duration) { d[bucketOf(t)]++ }

func bucketOf(t time.Duration) int {
	ms := float64(t) / float64(time.Millisecond)
	if ms <= 1 {
		return 0
	}
	return min(durationBuckets-1, int(math.Log(ms)/math.Log(bucketRatio)))
}

// from counts the durations in a bucket and those above it.
func (d *Durations) from(bucket int) (n int) {
	for i := max(0, bucket); i < durationBuckets; i++ {
		n += d[i]
	}
	return n
}

// ArmStats counts the outcomes of requests on one side. Its JSON names are short because nodes
// send it often.
type ArmStats struct {
	Count  int `json:"n"`
	Failed int `json:"f,omitempty"`
	// FirstByte has the times to the first byte, Pause the longest pauses within answers.
	FirstByte Durations `json:"b"`
	Pause     Durations `json:"p"`
}

func (a *ArmStats) plus(o *ArmStats) {
	a.Count += o.Count
	a.Failed += o.Failed
	for i := range o.FirstByte {
		a.FirstByte[i] += o.FirstByte[i]
		a.Pause[i] += o.Pause[i]
	}
}

// RouteStats counts the outcomes of requests on one route, by arm.
type RouteStats [armCount]ArmStats

// Stats counts the outcomes of requests since the start of a roll-out, by route.
type Stats map[string]*RouteStats

// Outcome is how one request to a replica ended.
type Outcome struct {
	Route  string
	Arm    Arm
	Failed bool
	// FirstByte is the time to the first byte of the answer, scaled to what is usual if the
	// work differs from request to request; Pause is the longest pause within the answer.
	FirstByte time.Duration
	Pause     time.Duration
}

// Add counts an outcome.
func (s Stats) Add(o *Outcome) {
	r := s[o.Route]
	if r == nil {
		r = &RouteStats{}
		s[o.Route] = r
	}
	a := &r[o.Arm]
	a.Count++
	if o.Failed {
		a.Failed++
		return
	}
	a.FirstByte.add(o.FirstByte)
	a.Pause.add(o.Pause)
}

// Plus adds the counts of another node.
func (s Stats) Plus(o Stats) {
	for route, add := range o {
		r := s[route]
		if r == nil {
			r = &RouteStats{}
			s[route] = r
		}
		for arm := range add {
			r[arm].plus(&add[arm])
		}
	}
}

// overall returns the sum over all routes.
func (s Stats) overall() (sum RouteStats) {
	for _, r := range s {
		for arm := range r {
			sum[arm].plus(&r[arm])
		}
	}
	return sum
}
