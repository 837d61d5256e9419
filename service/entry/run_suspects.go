package entry

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/drumpath/drumpath/pkg/boottime"
	"github.com/drumpath/drumpath/pkg/site"
	"github.com/drumpath/drumpath/pkg/suspect"
	"github.com/drumpath/drumpath/pkg/upstream"
	"github.com/drumpath/drumpath/service/suspects"
)

const (
	// suspectedRetry is when to come back with a prompt while another of its content is
	// under way: one that ends its engine does so within some hundred milliseconds.
	suspectedRetry = 500 * time.Millisecond
	// watchedMost is for how long a run of a watched prompt is waited for.
	watchedMost = 10 * time.Second
	// endLook bounds the look whether an engine still takes connections.
	endLook = 300 * time.Millisecond
	// unknownLife is in what time ends of an engine that has told no start count as one.
	unknownLife = 10 * time.Second
	// methodPrompt stands in a content's fingerprint for the HTTP method of other calls.
	methodPrompt = "PROMPT"
)

// content names what the run asks and for whom.
func (r *Run) content() site.Fingerprint {
	return site.NewFingerprint(r.call.Organisation.Name, methodPrompt, r.call.Model, r.call.Adapter, []byte(r.call.Prompt))
}

func (r *Run) sketch() uint64 {
	return suspect.QuickHash(r.call.Organisation.Name, methodPrompt, r.call.Model, r.call.Adapter, []byte(r.call.Prompt))
}

// suspected refuses a prompt under which engines have ended. Without it one prompt went on
// to all engines, six of six in the test.
func (r *Run) suspected() *Failure {
	s := r.parts.Suspects
	if s.Empty() {
		return nil // Nothing has to be hashed.
	}
	c := s.Case(r.content())
	switch c.Verdict() {
	case suspect.Blocked:
		r.log.Warn("prompt blocked", "content", c.Content, "ends", len(c.Ends), "engines", c.Replicas())
		return r.failure(&Failure{
			Status:  statusEnds(r.reached),
			Code:    CodeEndsEngines,
			Message: fmt.Sprintf("%d engines ended under this prompt; it is not to be sent again", len(c.Ends)),
		})
	case suspect.Watched:
		if r.watched {
			return nil // It was let run and found its engine gone; asked again it would wait for itself.
		}
		if !s.MayRun(r.ctx, c.Content, watchedMost) {
			return r.failure(refusal(CodeSuspected, suspectedRetry, "engines ended under this prompt, and another one like it is under way"))
		}
		r.watched = true
	}
	return nil
}

func statusEnds(reached bool) int {
	if reached {
		return http.StatusBadGateway
	}
	return http.StatusBadRequest
}

// noteLost notes that an engine's answer was lost, and looks whether the engine has ended.
func (r *Run) noteLost(replica string, err error) {
	var broken *upstream.TruncatedError
	if !errors.As(err, &broken) || r.sent.IsZero() {
		return
	}
	life := r.life
	if life.IsZero() {
		// It ended before it told its start; it takes longer to come back than this.
		life = time.Now().Truncate(unknownLife)
	}
	run := suspects.LostRun{
		Content:   r.content(),
		QuickHash: r.sketch(),
		RequestID: r.call.RequestID,
		Replica:   replica,
		StartKey:  suspects.StartKeyOf(replica, life),
		StartedAt: r.sent,
		LostAt:    boottime.Now(),
	}
	engine, ok := r.parts.Upstreams.Engine(replica)
	if !ok || r.ctx.Err() != nil {
		return
	}
	ctx, cancel := context.WithTimeout(r.ctx, endLook)
	defer cancel()
	if _, err := engine.Load(ctx); suspects.NotListening(err) {
		r.parts.Suspects.RecordEnd(run, run.LostAt)
		r.watched = false // Whoever let it run hears of that.
	}
}

// noteOver tells what became of the run.
func (r *Run) noteOver() {
	if r.done {
		r.parts.Suspects.RecordFinish(r.sketch(), r.content, boottime.Now())
	} else if r.watched {
		r.parts.Suspects.EndRun(r.content())
	}
	r.watched = false
}
