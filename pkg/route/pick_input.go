package route

import (
	"slices"
	"time"

	"github.com/drumpath/drumpath/pkg/site"
)

// PickInput is what a pool has to know of a request.
type PickInput struct {
	Model string
	// Tokens are those to be read, Shared those of them that other requests
	// have in common; both are 0 for requests without a prompt.
	Tokens int
	Shared int
	// Priority ranks the request, 0 for the most urgent.
	Priority int
	// Memory is what the request will hold of an engine's memory, in tokens, and
	// Capacity how much an engine has; both are 0 if that is not known.
	Memory   int
	Capacity int
	// Coverage are what each replica has of the prompt or can fetch, by ID.
	Coverage map[string]CacheCoverage
	// Affinity is a hash of the shared parts, 0 for none.
	Affinity uint64
	// NewestVersion is the newest version of the model's weights, 0 if not known.
	NewestVersion int64
	// StalenessWeight, from 0 to 1 and more, says how much older weights count.
	StalenessWeight float64
	// MinVersion is the oldest version that may still be used, 0 for any.
	MinVersion int64
	// Exclude are replicas that have already failed the request.
	Exclude []string
	// HomesOnly says that the request may run in the regions of Homes only.
	HomesOnly bool
	Homes     []string
	// UnlimitedOnly leaves out the replicas that name how many requests a second they take.
	UnlimitedOnly bool
	// Send says that the request is about to be sent to the replica that is picked.
	Send bool
}

// CacheCoverage is what a replica has of a prompt's shared tokens, or can fetch.
type CacheCoverage struct {
	// Known says that the replica itself tells what it holds; Held is that.
	Known   bool
	Held    int
	Fetched int
	Wait    time.Duration // Of the fetch.
}

// toRead is how many tokens a replica has to read. Where it does not tell what it
// holds, a prompt's home is likely to have some of what can't be fetched.
func (in *PickInput) tokensToPrefill(coverage CacheCoverage, affinity bool) float64 {
	tokens := float64(in.Tokens - coverage.Held - coverage.Fetched)
	if affinity && !coverage.Known {
		tokens -= affinityCachedShare * float64(in.Shared-coverage.Fetched)
	}
	return tokens
}

// mayRunIn says whether the request may run in a region.
func (in *PickInput) mayRunIn(region string) bool {
	return !in.HomesOnly || slices.Contains(in.Homes, region)
}

// Choice is the replica for a request.
type Choice struct {
	site.Upstream
	// Weights is the version of the model's weights there, 0 if not known.
	Weights int64
	// Expected is the expected time to the first byte of the answer.
	Expected time.Duration
	// ExpectedAtMeanLatency is what Expected would be if the replica were as late as the others.
	ExpectedAtMeanLatency time.Duration
	// Fetch is the part of Expected that is for a fetch.
	Fetch time.Duration
	// Read are the tokens that the replica should have to read.
	Read int
	// TokensAhead are those that it reads before, and Band how urgent the request is.
	TokensAhead int
	Band        int
	// Wait is the part of Expected until the replica begins the request.
	Wait time.Duration
	// Memory are the tokens of the replica's memory that it will hold.
	Memory int
}
