package route

import (
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var testNow = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func testOrganisation(name string) Organisation { return Organisation{Name: name, Share: 1} }

func isAdmitted(p *AdmissionTicket) bool {
	select {
	case <-p.Ready():
		return true
	default:
		return false
	}
}

// No request is lost or admitted twice, and the capacity and the concurrency limits hold.
func TestAdmissionStateMachine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := NewAdmission()
		now := testNow
		capacity := minCapacity
		var open []*AdmissionTicket
		limits := map[string]int{"a": 0, "b": 3, "c": 0}
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 50).Draw(t, "ms")) * time.Millisecond)
			switch op := rapid.IntRange(0, 4).Draw(t, "op"); {
			case op <= 1:
				name := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "tenant")
				o := Organisation{Name: name, Share: 1, Concurrency: limits[name]}
				cost := rapid.Float64Range(1, 1000).Draw(t, "cost")
				p, err := a.Enqueue(o, cost, rapid.IntRange(0, 2).Draw(t, "priority"), now.Add(time.Hour), now)
				assert.NilError(t, err)
				open = append(open, p)
			case op == 2 && len(open) > 0:
				i := rapid.IntRange(0, len(open)-1).Draw(t, "leave")
				open[i].Release(now)
				open[i].Release(now)
				open = append(open[:i], open[i+1:]...)
			case op == 3:
				capacity = rapid.IntRange(minCapacity, 12).Draw(t, "capacity")
				a.SetCapacity(capacity, now)
			}
			n, admittedByName := 0, map[string]int{}
			for _, p := range open {
				if isAdmitted(p) {
					n++
					admittedByName[p.organisation.Name]++
				}
			}
			s := a.Status()
			assert.Equal(t, s.Admitted, n)
			for name, q := range s.Organisations {
				assert.Equal(t, q.Admitted, admittedByName[name])
				assert.Assert(t, limits[name] == 0 || q.Admitted <= limits[name])
			}
			waiting := len(open) - n
			admissible := 0
			for _, p := range open {
				if !isAdmitted(p) && p.organisation.belowConcurrencyLimit() {
					admissible++
				}
			}
			assert.Assert(t, n >= min(capacity, n+admissible) || n > capacity, "%d admitted of %d, %d wait", n, capacity, waiting)
		}
	})
}

func TestLargeOrganisationDoesNotStarveSmallOnes(t *testing.T) {
	a := NewAdmission()
	now := testNow
	var big, small []*AdmissionTicket
	for range 200 {
		p, err := a.Enqueue(testOrganisation("big"), 100, 0, now.Add(time.Hour), now)
		assert.NilError(t, err)
		big = append(big, p)
	}
	for range 10 {
		p, err := a.Enqueue(testOrganisation("small"), 100, 0, now.Add(time.Hour), now)
		assert.NilError(t, err)
		small = append(small, p)
	}
	// Each turn the first admitted request ends. With equal shares, the small
	// organisation's ten have been admitted after about twenty turns.
	all := append(big, small...)
	for range 24 {
		i := slices.IndexFunc(all, isAdmitted)
		all[i].Release(now)
		all = slices.Delete(all, i, i+1)
	}
	for i, p := range small {
		assert.Assert(t, isAdmitted(p), "request %d of the small organisation still waits", i)
	}
}

func TestSharesAreWeighted(t *testing.T) {
	a := NewAdmission()
	now := testNow
	open := map[string][]*AdmissionTicket{}
	for range 300 {
		for name, share := range map[string]float64{"one": 1, "three": 3} {
			p, err := a.Enqueue(Organisation{Name: name, Share: share}, 10, 0, now.Add(time.Hour), now)
			assert.NilError(t, err)
			open[name] = append(open[name], p)
		}
	}
	left := map[string]int{}
	for range 200 {
		for name, list := range open {
			for i, p := range list {
				if isAdmitted(p) {
					p.Release(now)
					left[name]++
					open[name] = append(list[:i:i], list[i+1:]...)
					break
				}
			}
		}
	}
	ratio := float64(left["three"]) / float64(left["one"])
	assert.Assert(t, ratio > 0.9, "%v", left)
}

func TestOverloadIsRefusedAtOnceWithRetryAfter(t *testing.T) {
	a := NewAdmission()
	now := testNow
	for range 100 {
		_, err := a.Enqueue(testOrganisation("o"), 1, 0, now.Add(time.Hour), now)
		assert.NilError(t, err)
	}
	_, err := a.Enqueue(testOrganisation("o"), 1, 0, now.Add(time.Second), now)
	var refused *RefusedError
	assert.Assert(t, errors.As(err, &refused), "%v", err)
	assert.Equal(t, refused.Reason, RefusedOverload)
	assert.Assert(t, refused.RetryAfter > time.Second)
}

func TestTokenLimit(t *testing.T) {
	a := NewAdmission()
	limited := Organisation{Name: "o", Share: 1, TokensPerSecond: 100}
	_, err := a.Enqueue(limited, 200, 0, testNow.Add(time.Hour), testNow)
	assert.NilError(t, err)
	_, err = a.Enqueue(limited, 100, 0, testNow.Add(time.Hour), testNow)
	var refused *RefusedError
	assert.Assert(t, errors.As(err, &refused), "%v", err)
	assert.Equal(t, refused.Reason, RefusedRateLimit)
	_, err = a.Enqueue(limited, 100, 0, testNow.Add(time.Hour), testNow.Add(refused.RetryAfter+time.Millisecond))
	assert.NilError(t, err)
}

func BenchmarkAdmission(b *testing.B) {
	for _, organisations := range []int{10, 100, 1000, 4600} {
		b.Run(fmt.Sprint("organisations=", organisations), func(b *testing.B) {
			a := NewAdmission()
			a.SetCapacity(200, testNow)
			for i := range organisations {
				p, err := a.Enqueue(testOrganisation(fmt.Sprint(i)), 1, 0, testNow.Add(time.Hour), testNow)
				assert.NilError(b, err)
				p.Release(testNow)
			}
			b.ReportAllocs()
			for b.Loop() {
				p, err := a.Enqueue(testOrganisation("17"), 1, 0, testNow.Add(time.Hour), testNow)
				if err != nil {
					b.Fatal(err)
				}
				p.Release(testNow)
			}
		})
	}
}

func TestAdaptShrinksWhenReplicasQueueAndGrowsWhenTheyDoNot(t *testing.T) {
	a := NewAdmission()
	for range 50 {
		_, err := a.Enqueue(testOrganisation("o"), 1, 0, testNow.Add(time.Hour), testNow)
		assert.NilError(t, err)
	}
	for range 40 {
		a.Adapt(0, 30, testNow)
	}
	assert.Equal(t, a.Status().Admitted, 30)
	for range 40 {
		a.Adapt(time.Second, 30, testNow)
	}
	assert.Equal(t, a.Status().Capacity, minCapacity)
	assert.Equal(t, a.Status().Admitted, 30, "admitted requests stay")
}

// If FirstTokenTime stayed above all deadlines, every request would be refused and no
// new first token could lower it.
func TestFirstTokenTimeDecaysWithoutNewSamples(t *testing.T) {
	a := NewAdmission()
	p, err := a.Enqueue(testOrganisation("o"), 1, 0, testNow.Add(time.Hour), testNow)
	assert.NilError(t, err)
	for range 200 {
		p.FirstToken(testNow.Add(time.Minute))
	}
	late := testNow.Add(time.Minute)
	assert.Assert(t, a.FirstTokenTime(late) > 10*time.Second)
	assert.Assert(t, a.FirstTokenTime(late.Add(10*time.Second)) < 10*time.Millisecond)
	p.Release(late)
	assert.Equal(t, a.FirstTokenTime(late), time.Duration(0), "no request is admitted")
}
