package entry

import (
	"context"
	"errors"
	"time"

	"github.com/drumpath/drumpath/pkg/control"
)

const (
	// claimTimeout bounds the wait for a claim, so that the client soon learns that
	// nothing ran.
	claimTimeout    = 1500 * time.Millisecond
	voidTimeout     = time.Second
	claimRetryAfter = 2 * time.Second
)

// acquireClaim claims a request that must not run twice, before any byte of
// it is sent upstream.
func (r *Run) acquireClaim() *Failure {
	if !r.call.Once {
		return nil
	}
	claim, f := acquireClaim(r.ctx, r.deps, r.call.RequestMeta)
	r.claim = claim
	return f
}

func acquireClaim(ctx context.Context, deps *Dependencies, meta RequestMeta) (*control.Claim, *Failure) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	claim, err := deps.Claims.Acquire(ctx, meta.Organisation.Name, meta.Key)
	var taken *control.TakenError
	switch {
	case err == nil:
		return claim, nil
	case errors.As(err, &taken):
		return nil, claimedFailure(taken)
	default:
		return nil, refusal(CodeNoClaim, claimRetryAfter, "a request that must not be repeated needs a claim: %v", err)
	}
}

// claimedFailure answers a request that a node has already claimed. As it may have
// run, the failure must not be NotRun.
func claimedFailure(taken *control.TakenError) *Failure {
	return &Failure{
		Status:  statusConflict,
		Code:    CodeClaimedBefore,
		Ran:     OutcomeUnknown,
		Message: taken.Error(),
		replay:  taken.Result,
	}
}

const statusConflict = 409

// voidClaim releases the claim if it is certain that nothing ran.
func (r *Run) voidClaim() {
	if r.claim == nil || r.reached {
		return
	}
	voidClaim(r.deps, r.claim)
}

func voidClaim(deps *Dependencies, claim *control.Claim) {
	ctx, cancel := context.WithTimeout(context.Background(), voidTimeout)
	defer cancel()
	deps.Claims.Void(ctx, claim)
}
