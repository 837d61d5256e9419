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
	// Offers are what can be fetched to the replicas of each data hall.
	Offers map[string]Offer
	// LongestFetch is the longest that a fetch is worth.
	LongestFetch time.Duration
	// Affinity is a hash of the shared parts, 0 for none.
	Affinity uint64
	// Newest is the newest version of the model's weights, 0 if not known.
	Newest int64
	// Urgency, from 0 to 1 and more, says how much older weights count.
	Urgency float64
	// Oldest is the oldest version that may still be used, 0 for any.
	Oldest int64
	// Exclude are replicas that have already failed the request.
	Exclude []string
}

// Offer is what of a prompt can be fetched.
type Offer struct {
	Tokens int
	Wait   time.Duration
}

// offer is what is fetched to a replica in a data hall, nothing if that would
// take too long.
func (n *Need) offer(hall string) Offer {
	if o := n.Offers[hall]; o.Wait < n.LongestFetch {
		return o
	}
	return Offer{}
}

// toRead is how many tokens a replica has to read; its home is likely to have
// some of those that can't be fetched.
func (n *Need) toRead(o Offer, home bool) float64 {
	read := float64(n.Tokens - o.Tokens)
	if home {
		read -= homeShare * float64(n.Shared-o.Tokens)
	}
	return read
}

// Choice is the replica for a request.
type Choice struct {
	site.Upstream
	// Weights is the version of the model's weights there, 0 if not known.
	Weights int64
	// Expected is the expected time to the first byte of the answer.
	Expected time.Duration
	// Fetch is the part of it that is for a fetch.
	Fetch time.Duration
	// Read are the tokens that the replica should have to read.
	Read int
}
