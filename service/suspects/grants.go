package suspects

import (
	"context"
	"time"

	"github.com/drumpath/drumpath/pkg/boottime"
	"github.com/drumpath/drumpath/pkg/control"
	"github.com/drumpath/drumpath/pkg/site"
)

const (
	// grantTimeout bounds a call for a grant to run a watched request, as its client waits.
	grantTimeout = 150 * time.Millisecond
	// MethodRun asks an owner of a watched request for a grant to send it; MethodRunEnded
	// returns the grant.
	MethodRun      = "suspects.run"
	MethodRunEnded = "suspects.over"
)

// runRequest holds the parameters of MethodRun and MethodRunEnded.
type runRequest struct {
	Content site.Fingerprint `json:"content"`
	MaxMS   int64            `json:"most_ms,omitempty"`
	// Node is the node that asks; older nodes leave it empty.
	Node string `json:"node,omitempty"`
}

type runAnswer struct {
	Run bool `json:"run"`
}

// StartRun reports whether a watched request may be sent now. This node allows itself one run at
// a time; the first owner of the request that answers allows one among all nodes, for at
// most maxRun. If no owner answers, only the limit of this node applies.
func (s *Suspects) StartRun(ctx context.Context, f site.Fingerprint, maxRun time.Duration) bool {
	if !s.register.StartRun(f, maxRun, boottime.Now()) {
		return false
	}
	var unanswered []control.Member // Owners that may have granted the run though no answer arrived.
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

// EndRun returns the grant of a watched request whose run is over and whose replica is not
// known to have ended. All owners are notified: when only the first one was, an owner
// whose answer had come too late went on refusing the request to all nodes for up to 10 s.
func (s *Suspects) EndRun(f site.Fingerprint) {
	s.register.EndRun(f)
	s.returnGrants(f, s.owners(f))
}

// returnGrants returns a grant to the owners that may have given it, without waiting for
// them.
func (s *Suspects) returnGrants(f site.Fingerprint, owners []control.Member) {
	for _, o := range owners {
		if o.Name == s.self.Name {
			continue
		}
		s.wg.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), grantTimeout)
			defer cancel()
			if err := s.client.Notify(ctx, o.Peer, MethodRunEnded, runRequest{Content: f, Node: s.self.Name}); err != nil {
				s.log.Debug("grant for watched request not returned", "err", err) // The grant expires by itself.
			}
		})
	}
}
