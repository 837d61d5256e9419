package suspects

import (
	"context"
	"time"

	"github.com/drumpath/drumpath/pkg/boottime"
	"github.com/drumpath/drumpath/pkg/control"
	"github.com/drumpath/drumpath/pkg/site"
)

const (
	// grantTimeout bounds a call for a grant to run a watched request: its Caller waits.
	grantTimeout = 150 * time.Millisecond
	// MethodRun asks an owner whether a watched request may be sent now, and MethodRunEnded
	// tells it that nothing came of that.
	MethodRun      = "suspects.run"
	MethodRunEnded = "suspects.over"
)

// runRequest are the parameters of MethodRun and MethodRunEnded.
type runRequest struct {
	Content site.Fingerprint `json:"content"`
	MaxMS   int64            `json:"most_ms,omitempty"`
	// Node asks; older nodes don't tell.
	Node string `json:"node,omitempty"`
}

type runAnswer struct {
	Run bool `json:"run"`
}

// MayRun asks whether a watched request may be sent now: this node has one under way at a
// time, and the first of the request's owners that answers lets one of all nodes, for at
// most a time. Where none answers, this node lets one of its own.
func (s *Suspects) MayRun(ctx context.Context, f site.Fingerprint, maxRun time.Duration) bool {
	if !s.register.StartRun(f, maxRun, boottime.Now()) {
		return false
	}
	var unanswered []control.Member // They may have given a grant.
	for _, owner := range s.owners(f) {
		if owner.Name == s.self.Name {
			break
		}
		var answer runAnswer
		req := runRequest{Content: f, MaxMS: maxRun.Milliseconds(), Node: s.self.Name}
		err := s.client.CallWithin(ctx, grantTimeout, owner.Peer, MethodRun, req, &answer)
		switch {
		case err != nil:
			unanswered = append(unanswered, owner)
			continue
		case !answer.Run:
			s.register.EndRun(f)
			s.returnGrants(f, unanswered)
		}
		return answer.Run
	}
	return true
}

// EndRun tells that a watched request has ended with no word of its replica. Told only to the
// first owner, one that was asked for a grant and answered too late went on refusing the
// request to all nodes, for up to 10 s.
func (s *Suspects) EndRun(f site.Fingerprint) {
	s.register.EndRun(f)
	s.returnGrants(f, s.owners(f))
}

// returnGrants gives a grant back to those that may have given it, without waiting for them.
func (s *Suspects) returnGrants(f site.Fingerprint, owners []control.Member) {
	for _, o := range owners {
		if o.Name == s.self.Name {
			continue
		}
		s.wg.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), grantTimeout)
			defer cancel()
			if err := s.client.Notify(ctx, o.Peer, MethodRunEnded, runRequest{Content: f, Node: s.self.Name}); err != nil {
				s.log.Debug("grant for watched request not returned", "err", err) // It lapses.
			}
		})
	}
}
