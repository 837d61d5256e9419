package gateway

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/drumpath/drumpath/pkg/boottime"
	"github.com/drumpath/drumpath/pkg/config"
	"github.com/drumpath/drumpath/pkg/site"
)

// A request that could not end within the rest of the grace was sent late in it.
func TestRequestIsNotSentThatCannotEndInTheGrace(t *testing.T) {
	const grace = 8 * time.Second
	r := &site.Route{Name: "r", LatencyTarget: 500 * time.Millisecond}
	for _, tc := range []struct {
		name          string
		stoppingSince time.Duration // 0 for a node that is not stopping.
		answers       []time.Duration
		left          time.Duration // Until the request's deadline.
		sent          bool
	}{
		{name: "not stopping", left: time.Minute, answers: []time.Duration{time.Hour}, sent: true},
		{name: "early, short answers", stoppingSince: time.Second, left: time.Minute, answers: []time.Duration{time.Second}, sent: true},
		{name: "early, a long answer", stoppingSince: time.Second, left: time.Minute, answers: []time.Duration{time.Second, 7 * time.Second}},
		{name: "late, short answers", stoppingSince: 6 * time.Second, left: time.Minute, answers: []time.Duration{time.Second}, sent: true},
		{name: "late, longer answers", stoppingSince: 6 * time.Second, left: time.Minute, answers: []time.Duration{2 * time.Second}},
		{name: "late, but its deadline is earlier", stoppingSince: 6 * time.Second, left: time.Second, answers: []time.Duration{2 * time.Second}, sent: true},
		{name: "early, no answer yet", stoppingSince: time.Second, left: time.Minute, sent: true},
		{name: "late, no answer yet", stoppingSince: 6 * time.Second, left: time.Minute},
		{name: "at the end", stoppingSince: grace - shutdownReserve, left: time.Minute, answers: []time.Duration{time.Millisecond}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := &Gateway{answerTimes: newAnswerTimes()}
			g.settings.Store(&config.GatewaySettings{Stop: config.StopSettings{Grace: config.Duration(grace)}})
			if tc.stoppingSince > 0 {
				at := time.Now().Add(-tc.stoppingSince)
				g.stopRequestedAt.Store(&at)
			}
			for _, took := range tc.answers {
				g.answerTimes.record(r.Name, took)
			}
			x := &exchange{g: g, route: r, deadline: boottime.Now().Add(tc.left)}
			assert.Equal(t, x.endsInGrace(), tc.sent)
			f := x.stopRefusal()
			assert.Assert(t, f.status == http.StatusServiceUnavailable && f.retryAfter > 0)
			x.mayHaveRun = 1
			assert.Equal(t, x.stopRefusal().status, http.StatusGatewayTimeout, "no promise that it has not run")
		})
	}
}

func TestLongAnswersAreForgottenAfterMany(t *testing.T) {
	times := newAnswerTimes()
	r := &site.Route{Name: "r"}
	times.record(r.Name, time.Minute)
	for range 2*longestOf - 1 {
		times.record(r.Name, time.Second)
		assert.Equal(t, times.expected(r), time.Minute)
	}
	for range longestOf {
		times.record(r.Name, time.Second)
	}
	assert.Equal(t, times.expected(r), time.Second)
}
