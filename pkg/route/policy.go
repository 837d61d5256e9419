package route

import (
	"time"

	"github.com/drumpath/drumpath/pkg/config"
)

// Policy places requests.
type Policy interface {
	// Place decides where a request runs; the error is ErrNoReplica.
	Place(q *Request, now time.Time) (Decision, error)
}

// NewPolicy returns the policy with the given name from the settings.
func NewPolicy(name string, f *Fleet, l *Links, w CostWeights) Policy {
	switch name {
	case config.PolicyRoundRobin:
		return &roundRobin{fleet: f}
	case config.PolicyLeastLoaded:
		return &leastLoaded{fleet: f}
	case config.PolicyLongestPrefix:
		return &longestPrefix{fleet: f}
	case config.PolicyNeverImport:
		return &estimator{fleet: f, links: l, weights: w}
	default:
		return &estimator{fleet: f, links: l, weights: w, imports: true}
	}
}
