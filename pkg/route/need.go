package route

import (
	"time"

	"github.com/drumpath/drumpath/pkg/site"
)

// Need is what a pool has to know of a request.
type Need struct {
	Model string
	// Tokens are those to be read, Shared those of them that other requests
	// have in common; both are 0 for requests without a prompt.
	Tokens int
	Shared int
	// Affinity is a hash of the shared parts, 0 for none.
	Affinity uint64
	// Newest is the newest version of the model's weights, 0 if not known.
	Newest int64
	// Urgency, from 0 to 1 and more, says how much older weights count.
	Urgency float64
	// Exclude are replicas that have already failed the request.
	Exclude []string
}

// Choice is the replica for a request.
type Choice struct {
	site.Upstream
	// Weights is the version of the model's weights there, 0 if not known.
	Weights int64
	// Expected is the expected time to the first byte of the answer.
	Expected time.Duration
}
