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
	// suspectedRetryAfter is the Retry-After of a prompt while the same prompt is running
	// elsewhere: one that ends its engine does so within some hundred milliseconds.
	suspectedRetryAfter = 500 * time.Millisecond
	// maxPermittedRun is how long a permitted run of a watched prompt keeps others waiting.
	maxPermittedRun = 10 * time.Second
	// endCheckTimeout bounds the check whether an engine still accepts connections.
	endCheckTimeout = 300 * time.Millisecond
	// unknownStartWindow is the time within which the ends of an engine with an unknown start
	// time count as one.
	unknownStartWindow = 10 * time.Second
	// methodPrompt takes the place of the HTTP method in a prompt's fingerprint.
	methodPrompt = "PROMPT"
)

// fingerprint identifies the prompt, its model and its organisation.
func (r *Run) fingerprint() site.Fingerprint {
	return site.NewFingerprint(r.call.Organisation.Name, methodPrompt, r.call.Model, r.call.Adapter, []byte(r.call.Prompt))
}

func (r *Run) quickHash() uint64 {
	return suspect.QuickHash(r.call.Organisation.Name, methodPrompt, r.call.Model, r.call.Adapter, []byte(r.call.Prompt))
}

// checkSuspected refuses a prompt under which engines have ended. Without it one such prompt
// was retried until it had ended all engines, six of six in the test.
func (r *Run) checkSuspected() *Failure {
	suspects := r.deps.Suspects
	if suspects.Empty() {
		return nil // Saves hashing the prompt.
	}
	c, verdict := suspects.Judge(suspect.Cause{Fingerprint: r.fingerprint()}, r.call.Model, r.prefixes())
	switch verdict {
	case suspect.Blocked:
		r.log.Warn("prompt blocked", "content", r.fingerprint(), "cause", c.Kind.String(), "part", c.Part, "ends", len(c.Ends), "engines", c.Replicas())
		return r.setRan(&Failure{
			Status:  blockedStatus(r.reached),
			Code:    CodeEndsEngines,
			Message: blockedMessage(&c),
		})
	case suspect.Watched:
		if r.grant != nil {
			return nil // Asking again on a retry would wait for this very run.
		}
		if !suspects.StartRun(r.ctx, c.Fingerprint, maxPermittedRun) {
			return r.setRan(refusal(CodeSuspected, suspectedRetryAfter, "engines ended under this prompt, and another one like it is under way"))
		}
		r.grant = &c.Fingerprint
	}
	return nil
}

func blockedMessage(c *suspect.Case) string {
	if c.Kind == suspect.KindPart {
		return fmt.Sprintf("%d engines ended under prompts with a prefix of this one; it is not to be sent again", len(c.Ends))
	}
	return fmt.Sprintf("%d engines ended under this prompt; it is not to be sent again", len(c.Ends))
}

// prefixes returns the keys of the prefixes that other prompts may share: all marks but the last one.
func (r *Run) prefixes() []string {
	marks := r.chain.Marks[:max(0, len(r.chain.Marks)-1)]
	keys := make([]string, len(marks))
	for i, m := range marks {
		keys[i] = m.Key.String()
	}
	return keys
}

func blockedStatus(reached bool) int {
	if reached {
		return http.StatusBadGateway
	}
	return http.StatusBadRequest
}

// reportIfEnded records the end of an engine if the answer was truncated and the engine no
// longer accepts connections.
func (r *Run) reportIfEnded(replica string, err error) {
	var truncated *upstream.TruncatedError
	if !errors.As(err, &truncated) || r.sentAt.IsZero() {
		return
	}
	started := r.engineStarted
	if started.IsZero() {
		// The engine ended before it reported its start. A restart takes longer than this
		// window, so two starts are not counted as one.
		started = time.Now().Truncate(unknownStartWindow)
	}
	lost := suspects.LostRun{
		Content:   r.fingerprint(),
		QuickHash: r.quickHash(),
		RequestID: r.call.RequestID,
		Service:   r.call.Model,
		Parts:     r.prefixes(),
		Replica:   replica,
		StartKey:  suspects.StartKeyOf(replica, started),
		StartedAt: r.sentAt,
		LostAt:    boottime.Now(),
	}
	engine, ok := r.deps.Upstreams.Engine(replica)
	if !ok || r.ctx.Err() != nil {
		return
	}
	ctx, cancel := context.WithTimeout(r.ctx, endCheckTimeout)
	defer cancel()
	if _, err := engine.Load(ctx); suspects.NotListening(err) {
		r.deps.Suspects.RecordEnd(lost, lost.LostAt)
		r.grant = nil // The node that permitted it learns of the end.
	}
}

// reportFinished reports a finished run, or ends a permitted one that failed.
func (r *Run) reportFinished() {
	if r.done {
		now := boottime.Now()
		r.deps.Suspects.RecordFinish(r.quickHash(), r.fingerprint, now)
		r.deps.Suspects.RecordPartFinishes(r.call.Model, r.prefixes(), now)
	} else if r.grant != nil {
		r.deps.Suspects.EndRun(*r.grant)
	}
	r.grant = nil
}
