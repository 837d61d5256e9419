package entry

import (
	"context"
	"errors"
	"time"

	"github.com/drumpath/drumpath/pkg/control"
)

const (
	// claimWait bounds the wait for a claim; the caller is told at once that
	// nothing ran, rather than late.
	claimWait  = 1500 * time.Millisecond
	voidWait   = time.Second
	claimRetry = 2 * time.Second
)

// acquireClaim claims a request that must not be repeated, before any byte of
// it goes upstream.
func (r *Run) acquireClaim() *Failure {
	if !r.call.Once {
		return nil
	}
	claim, f := acquireClaim(r.ctx, r.parts, r.call.Terms)
	r.claim = claim
	return f
}

func acquireClaim(ctx context.Context, parts *Dependencies, t Terms) (*control.Claim, *Failure) {
	ctx, cancel := context.WithTimeout(ctx, claimWait)
	defer cancel()
	claim, err := parts.Claims.Acquire(ctx, t.Organisation.Name, t.Key)
	var taken *control.TakenError
	switch {
	case err == nil:
		return claim, nil
	case errors.As(err, &taken):
		return nil, claimedFailure(taken)
	default:
		return nil, refusal(CodeNoClaim, claimRetry, "a request that must not be repeated needs a claim: %v", err)
	}
}

// claimedFailure answers a request that some node claimed before: it may have
// run, so it must not be said that it did not.
func claimedFailure(taken *control.TakenError) *Failure {
	return &Failure{
		Status:  statusConflict,
		Code:    CodeClaimed,
		Ran:     OutcomeUnknown,
		Message: taken.Error(),
		replay:  taken.Result,
	}
}

const statusConflict = 409

// voidClaim gives a claim back if it is certain that nothing ran.
func (r *Run) voidClaim() {
	if r.claim == nil || r.reached {
		return
	}
	voidClaim(r.parts, r.claim)
}

func voidClaim(parts *Dependencies, claim *control.Claim) {
	ctx, cancel := context.WithTimeout(context.Background(), voidWait)
	defer cancel()
	parts.Claims.Void(ctx, claim)
}
