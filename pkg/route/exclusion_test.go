package route

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/drumpath/drumpath/pkg/site"
)

// replicasWithStart returns replicas a and b, with the given start time for a.
func replicasWithStart(started time.Time) []site.Upstream {
	return []site.Upstream{{ID: "a", DataHall: "h0", Slots: 4, Started: started}, {ID: "b", DataHall: "h0", Slots: 4}}
}

func TestBackoffSurvivesRelisting(t *testing.T) {
	p := newTestPool(0, 1)
	list := replicasWithStart(time.UnixMilli(5))
	p.Configure(list, testNow)
	p.BackOff(&list[0], 3*time.Second, testNow)
	p.Configure(list[1:], testNow.Add(time.Second))
	p.Configure(list, testNow.Add(2*time.Second))
	assert.Assert(t, p.InBackoff("a", testNow.Add(2900*time.Millisecond)))
	assert.Assert(t, !p.InBackoff("a", testNow.Add(3*time.Second+backoffSpread)))
	assert.Equal(t, countPicks(p, &PickInput{}, "a"), 0)

	// It may ask for a backoff while it isn't listed.
	p.Configure(list[1:], testNow)
	p.BackOff(&list[0], 6*time.Second, testNow)
	p.Configure(list, testNow)
	assert.Assert(t, p.InBackoff("a", testNow.Add(5*time.Second)))
}

func TestRestartedReplicaDoesNotInheritBackoff(t *testing.T) {
	p := newTestPool(0, 1)
	old := replicasWithStart(time.UnixMilli(5))
	p.Configure(old, testNow)
	p.BackOff(&old[0], 3*time.Second, testNow)
	p.Configure(replicasWithStart(time.UnixMilli(6)), testNow)
	assert.Assert(t, !p.InBackoff("a", testNow))
	p.BackOff(&old[0], 9*time.Second, testNow) // A late answer of the earlier start.
	assert.Assert(t, !p.InBackoff("a", testNow))
}

func TestLearningTheStartTimeIsNotARestart(t *testing.T) {
	p := newTestPool(0, 1)
	p.Configure(replicasWithStart(time.Time{}), testNow)
	listed := replicasWithStart(time.UnixMilli(5))
	p.Configure(listed, testNow)
	assert.Assert(t, p.Accepts(&listed[0], testNow))
	p.BackOff(&listed[0], time.Second, testNow)
	assert.Assert(t, p.InBackoff("a", testNow))
}

// If a replica asks for several backoffs the latest end applies, and serving a request
// doesn't end a backoff.
func TestLatestBackoffEndApplies(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := newTestPool(0, 1)
		list := replicasWithStart(time.Time{})
		p.Configure(list, testNow)
		now, end := testNow, testNow
		for range rapid.IntRange(1, 8).Draw(t, "answers") {
			now = now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(t, "pause ms")) * time.Millisecond)
			if rapid.Bool().Draw(t, "served") {
				p.Begin(Choice{Upstream: list[0]}, now).End(OutcomeOK, now)
				continue
			}
			d := time.Duration(rapid.IntRange(1, 4000).Draw(t, "backoff ms")) * time.Millisecond
			p.BackOff(&list[0], d, now)
			if now.Add(d).After(end) {
				end = now.Add(d)
			}
		}
		if end.After(now) {
			assert.Assert(t, p.InBackoff("a", end.Add(-time.Nanosecond)))
		}
		assert.Assert(t, !p.InBackoff("a", end.Add(backoffSpread)))
	})
}

func TestExpiredBackoffsAreForgotten(t *testing.T) {
	p := newTestPool(0, 1)
	for i := range 10_000 {
		u := site.Upstream{ID: fmt.Sprint(i)}
		p.BackOff(&u, time.Second, testNow.Add(time.Duration(i)*time.Second))
	}
	assert.Assert(t, len(p.backoffs) <= 2, "%d", len(p.backoffs))
}

// A request used to be sent to the replica picked for it even if that had stopped accepting
// requests in the meantime.
func TestPickedReplicaIsRecheckedBeforeSending(t *testing.T) {
	p := newTestPool(0, 1)
	list := replicasWithStart(time.UnixMilli(5))
	a := &list[0]
	for name, withdraw := range map[string]func(){
		"dropped":   func() { p.Configure(list[1:], testNow) },
		"backs off": func() { p.BackOff(a, time.Second, testNow) },
		"drains": func() {
			draining := replicasWithStart(time.UnixMilli(5))
			draining[0].Draining = true
			p.Configure(draining, testNow)
		},
		"evacuated": func() {
			away := replicasWithStart(time.UnixMilli(5))
			away[0].Evacuated = true
			p.Configure(away, testNow)
		},
		"new start":   func() { p.Configure(replicasWithStart(time.UnixMilli(6)), testNow) },
		"not at all ": func() {},
	} {
		p = newTestPool(0, 1)
		p.Configure(list, testNow)
		assert.Assert(t, p.Accepts(a, testNow))
		withdraw()
		assert.Equal(t, p.Accepts(a, testNow), name == "not at all ", name)
	}
}

func TestAvailabilityCountsExclusionsAndRetryAfter(t *testing.T) {
	p := newTestPool(0, 1)
	list := replicasWithStart(time.Time{})
	list[1].Draining = true
	p.Configure(list, testNow)
	p.BackOff(&list[0], 3*time.Second, testNow)
	_, ok := p.Pick(&PickInput{}, testNow)
	assert.Assert(t, !ok)
	availability := p.Availability(&PickInput{Exclude: []string{"a"}}, testNow)
	assert.DeepEqual(t, availability.Excluded, map[Exclusion]int{ExcludedBackoff: 1, ExcludedDraining: 1})
	assert.Equal(t, availability.Eligible, 0)
	assert.Assert(t, availability.RetryAfter >= 3*time.Second && availability.RetryAfter <= 3*time.Second+backoffSpread+retryAfterSpread, "%v", availability.RetryAfter)
	assert.DeepEqual(t, p.Excluded(testNow), availability.Excluded)
	_, usable := p.Count(testNow)
	assert.Equal(t, usable, 0)
}

// Under usual load a replica that rejects all requests looks idle: it used to get two to
// three times its share of the requests, and all nodes came back to it at the same moment.
func TestBackoffIsHonouredAndLoadReturnsGradually(t *testing.T) {
	const (
		ratePerReplica = 5.2 // Requests a second per replica.
		backoff        = 3 * time.Second
		busyTerm       = 5 * time.Second // How long a busy replica rejects all requests.
		duration       = 12 * time.Second
	)
	for _, c := range []struct{ nodes, replicas int }{{7, 18}, {71, 60}, {295, 256}, {900, 100}} {
		t.Run(fmt.Sprint(c.nodes, " nodes"), func(t *testing.T) {
			rng := rand.New(rand.NewPCG(1, uint64(c.nodes)))
			list := make([]site.Upstream, c.replicas)
			for i := range list {
				list[i] = site.Upstream{ID: fmt.Sprint("r", i), DataHall: fmt.Sprint("h", i%3), Slots: 8}
			}
			busy := map[string]bool{}
			for i := range max(1, c.replicas/10) {
				busy[fmt.Sprint("r", i)] = true
			}
			pools := make([]*Pool, c.nodes)
			for i := range pools {
				pools[i] = NewPool(fmt.Sprint("h", i%3), rand.New(rand.NewPCG(2, uint64(i))))
				pools[i].Configure(list, testNow)
			}
			asked := map[[2]string]time.Time{} // End of the backoff, by node and replica.
			inBackoff, returned := 0, map[time.Duration]int{}
			step := time.Duration(float64(time.Second) / (ratePerReplica * float64(c.replicas)))
			for at := time.Duration(0); at < duration; at += step {
				now := testNow.Add(at)
				i := rng.IntN(c.nodes)
				input := PickInput{Send: true}
				for {
					choice, ok := pools[i].Pick(&input, now)
					assert.Assert(t, ok)
					request := pools[i].Begin(choice, now)
					key := [2]string{fmt.Sprint(i), choice.ID}
					if now.Before(asked[key]) {
						inBackoff++
					}
					if !busy[choice.ID] || at >= busyTerm {
						request.End(OutcomeOK, now)
						if busy[choice.ID] {
							returned[at.Truncate(250*time.Millisecond)]++
						}
						break
					}
					request.End(OutcomeNeutral, now)
					pools[i].BackOff(&choice.Upstream, backoff, now)
					asked[key] = now.Add(backoff)
					input.Exclude = append(input.Exclude, choice.ID)
				}
			}
			maxReturned, lastReturned := 0, 0
			for at, n := range returned {
				maxReturned = max(maxReturned, n)
				if at >= duration-2*time.Second {
					lastReturned += n
				}
			}
			usual := ratePerReplica * float64(len(busy)) / 4 // In 0.25 s.
			t.Logf("%d within backoffs; %d in the worst 0.25 s of the return, usual %.1f; %d in the last 2 s of %.0f", inBackoff, maxReturned, usual, lastReturned, usual*8)
			assert.Equal(t, inBackoff, 0)
			assert.Assert(t, float64(maxReturned) <= 3*usual+5, "%d in 0.25 s of the return", maxReturned)
			assert.Assert(t, float64(lastReturned) >= 0.5*usual*8, "%d in the last 2 s", lastReturned)
		})
	}
}
