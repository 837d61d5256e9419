package onplatform_test

import (
	"fmt"
	"io"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/drumpath/drumpath/internal/standin/onplatform"
)

const (
	limitWindow = 4 * time.Second
	// limitDelay is how long after an answer named a limit all nodes must keep to it.
	limitDelay = 500 * time.Millisecond
	// emptyLimit is a limit that is named without a value.
	emptyLimit = " "
	// minUsedShare is the share of its limit that a replica must get at least when there is enough load.
	minUsedShare = 0.3
)

// limitedReplica is a replica that names a rate limit in its answers.
type limitedReplica struct {
	*onplatform.Replica

	mu        sync.Mutex
	limit     string    // Value of Server-Limit, "" for no limit.
	firstSent time.Time // When the limit was first named to a node.
	arrived   []time.Time
}

func (s *site) startLimitedReplica(service, id, limit string) *limitedReplica {
	r := &limitedReplica{Replica: s.newReplica(id)}
	r.setLimit(limit)
	r.Script(r.answer)
	s.listReplica(service, r.Replica, "ready", 1)
	return r
}

// setLimit sets the limit named from now on and forgets past arrivals.
func (r *limitedReplica) setLimit(limit string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.limit, r.firstSent, r.arrived = limit, time.Time{}, nil
}

func (r *limitedReplica) answer(w io.Writer, in *onplatform.Request) bool {
	r.mu.Lock()
	now := time.Now()
	r.arrived = append(r.arrived, now)
	if r.firstSent.IsZero() {
		r.firstSent = now
	}
	field := ""
	if r.limit != "" {
		field = "Server-Limit: " + r.limit + "\r\n"
	}
	r.mu.Unlock()
	time.Sleep(5 * time.Millisecond)
	body := "from " + r.ID
	_, err := fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nServer-Stamp: s\r\nRequest-Id: %s\r\n%sContent-Length: %d\r\n\r\n%s", in.ID(), field, len(body), body)
	return err == nil
}

// countArrivals returns the largest number of requests within limitWindow, and the number of all
// requests; both leave out the first limitDelay, in which nodes may not know the limit.
func (r *limitedReplica) countArrivals() (worst, all int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i, from := range r.arrived {
		if from.Sub(r.firstSent) < limitDelay {
			continue
		}
		all++
		n := 0
		for _, at := range r.arrived[i:] {
			if at.Sub(from) < limitWindow {
				n++
			}
		}
		worst = max(worst, n)
	}
	return worst, all
}

// assertWithinLimit checks the arrivals of the given duration against a limit, from above and below.
func (r *limitedReplica) assertWithinLimit(t *testing.T, limit float64, duration time.Duration) {
	t.Helper()
	worst, all := r.countArrivals()
	t.Logf("%s: limit %g, %d in the worst 4 s, %d in all", r.ID, limit, worst, all)
	assert.Check(t, float64(worst) <= 1.5*limit*limitWindow.Seconds()+5, "%s: limit %g, %d in 4 s", r.ID, limit, worst)
	assert.Check(t, float64(all) >= minUsedShare*limit*(duration-limitDelay).Seconds(), "%s: limit %g, %d in all", r.ID, limit, all)
}

// load sends requests to some nodes at a steady rate and counts the answers.
type load struct {
	mu                sync.Mutex
	statuses          map[int]int
	reasons           map[string]int // Bodies of refusals.
	missingRetryAfter int            // Refusals without Retry-After.
	stop              chan struct{}
	wg                sync.WaitGroup
}

// startLoad starts sending each node rate requests a second.
func (s *site) startLoad(nodes []*node, rate float64, text func() string) *load {
	l := &load{statuses: map[int]int{}, reasons: map[string]int{}, stop: make(chan struct{})}
	for _, n := range nodes {
		l.wg.Go(func() {
			tick := time.NewTicker(time.Duration(float64(time.Second) / rate))
			defer tick.Stop()
			for {
				select {
				case <-l.stop:
					return
				case <-tick.C:
				}
				l.wg.Go(func() { l.record(n.sendAndClose(text())) })
			}
		})
	}
	return l
}

func (l *load) record(got reply) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.statuses[got.status]++
	if got.status != 200 {
		l.reasons[got.body]++
	}
	if got.status == 503 && got.header.Get("Retry-After") == "" {
		l.missingRetryAfter++
	}
}

// finish ends the load and returns the number of answers by status.
func (l *load) finish() map[int]int {
	close(l.stop)
	l.wg.Wait()
	return l.statuses
}

// Replicas name in their answers how many requests a second they take from all nodes together.
// Two that named 1 and 1.1 got 17 and 19 in 4 s, where 11 and 12 are allowed: no node read the
// header. It is not enough that each node by itself keeps to the rate: the nodes have to share it,
// also when that leaves each of them less than one request a second.
func TestReplicaGetsNoMoreThanItNamesFromAllNodes(t *testing.T) {
	const loadTime = 7 * time.Second
	sharedPrompt := func() string { return prompt("b0") }
	plainRequest := func(method, target string) func() string {
		return func() string { return request(method, target, "") }
	}
	for name, c := range map[string]struct {
		nodes    int
		replicas int // Without a limit.
		service  string
		limits   []float64
		rate     float64 // Requests a second at each node.
		text     func() string
	}{
		"idempotent":                  {5, 5, appService, []float64{1.7}, 24, plainRequest("GET", "/safe/x")},
		"at most once, two limited":   {5, 4, appService, []float64{1, 6.5}, 24, plainRequest("POST", "/once/x")},
		"prompts that share a prefix": {5, 2, llmService, []float64{1.7, 1}, 20, sharedPrompt},
		"sixteen nodes":               {16, 3, appService, []float64{1}, 8, plainRequest("GET", "/safe/x")},
		"little load":                 {5, 1, appService, []float64{0.4}, 1, plainRequest("GET", "/safe/x")},
		"all of them limited":         {5, 0, appService, []float64{3, 3, 3}, 23, plainRequest("GET", "/safe/x")},
		"one that takes much":         {5, 1, appService, []float64{60}, 20, plainRequest("GET", "/safe/x")},
	} {
		t.Run(name, func(t *testing.T) { // Not in parallel: each puts a fleet under load.
			s := newSite(t)
			for i := range c.replicas {
				s.startLimitedReplica(c.service, fmt.Sprintf("free%d", i), "")
			}
			var limited []*limitedReplica
			for i, limit := range c.limits {
				limited = append(limited, s.startLimitedReplica(c.service, fmt.Sprintf("limited%d", i), fmt.Sprint(limit)))
			}
			l := s.startLoad(s.startNodes(c.nodes), c.rate, c.text)
			time.Sleep(loadTime)
			got := l.finish()
			t.Logf("answers %v, refused as %v", got, l.reasons)
			for i, r := range limited {
				r.assertWithinLimit(t, c.limits[i], loadTime)
			}
			assert.Equal(t, l.missingRetryAfter, 0)
			if c.replicas > 0 {
				assert.Equal(t, len(got), 1, "no request fails while another replica is free: %v, refused as %v", got, l.reasons)
			}
			assert.Assert(t, got[200] > 0)
		})
	}
}

// A replica may change its limit or stop naming one. All nodes must follow, also those that
// have sent it nothing since; a value that cannot be read changes nothing.
func TestRateLimitFollowsLatestHeader(t *testing.T) {
	s := newSite(t)
	s.startLimitedReplica(appService, "free", "")
	r := s.startLimitedReplica(appService, "limited", "8")
	l := s.startLoad(s.startNodes(4), 15, func() string { return request("GET", "/safe/x", "") })
	defer l.finish()
	checkFor := func(named string, limit float64, d time.Duration) {
		r.setLimit(named)
		time.Sleep(d)
		r.assertWithinLimit(t, limit, d)
	}
	checkFor("8", 8, 5*time.Second)
	checkFor("0.5", 0.5, 6*time.Second)
	checkFor("much", 0.5, 5*time.Second) // Cannot be read: the last limit stays.
	checkFor("8", 8, 6*time.Second)
	r.setLimit("")
	time.Sleep(3 * time.Second)
	r.mu.Lock()
	before := len(r.arrived)
	r.mu.Unlock()
	time.Sleep(2 * time.Second)
	r.mu.Lock()
	defer r.mu.Unlock()
	assert.Assert(t, len(r.arrived)-before >= 30, "of 120 requests %d came in 2 s", len(r.arrived)-before)
}

// A replica that names a limit of 0 or an unusable one must get requests again once it names none.
func TestUnusableRateLimitDoesNotDisableReplicaForGood(t *testing.T) {
	t.Parallel()
	for _, named := range []string{"0", "1e9", "-3", "inf", "NaN", emptyLimit, "much"} {
		t.Run(named, func(t *testing.T) {
			t.Parallel()
			s := newSite(t)
			r := s.startLimitedReplica(appService, "limited", named)
			l := s.startLoad(s.startNodes(2), 10, func() string { return request("GET", "/safe/x", "") })
			defer l.finish()
			time.Sleep(2 * time.Second)
			r.setLimit("")
			time.Sleep(6 * time.Second)
			before := len(r.Received())
			time.Sleep(time.Second)
			assert.Assert(t, len(r.Received())-before >= 10, "%d of 20 requests", len(r.Received())-before)
		})
	}
}
