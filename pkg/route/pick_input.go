package route

import (
	"slices"
	"time"

	"github.com/drumpath/drumpath/pkg/site"
)

// PickInput is what a pool needs to know of a request to pick a replica.
type PickInput struct {
	Model string
	// Tokens is the number of tokens of the prompt, Shared how many of them it has in
	// common with other requests. Both are 0 for requests without a prompt.
	Tokens int
	Shared int
	// Priority is 0 for the most urgent requests, and greater for less urgent ones.
	Priority int
	// Memory is the engine memory that the request will hold, and Capacity that of one
	// engine, both in tokens; 0 if unknown.
	Memory   int
	Capacity int
	// Bytes is the size of the request's body.
	Bytes int64
	// Coverage maps the ID of a replica to what it has cached of the prompt or can fetch.
	Coverage map[string]CacheCoverage
	// Affinity is a hash of the shared parts of the prompt, 0 for none.
	Affinity uint64
	// NewestVersion is the newest version of the model's weights, 0 if unknown.
	NewestVersion int64
	// StalenessWeight scales the cost of older weights; it may exceed 1.
	StalenessWeight float64
	// MinVersion is the oldest version that may be used, 0 for any.
	MinVersion int64
	// Weights has the versions of the model's weights, and WeightsTerm the time for which a version
	// may be used after it was replaced: a replica with an older one than the newest must be
	// expected to begin the prompt within that. Without Weights, any version may be used at any
	// time. The pool may have learned of a replica's newer version since: it counts as in use then.
	Weights     WeightHistory
	WeightsTerm time.Duration
	// Exclude lists the replicas at which the request has already failed.
	Exclude []string
	// HomesOnly restricts the request to the regions in Homes.
	HomesOnly bool
	Homes     []string
	// Software restricts the request to replicas of one version of their software, or to
	// those of all others.
	Software SoftwareRule
	// UnlistedSoftware are versions at which the request must not begin yet.
	UnlistedSoftware []string
	// UnlimitedOnly excludes the replicas that have a rate limit.
	UnlimitedOnly bool
	// BeginWithin is the time within which a replica of the own data hall must be expected
	// to begin the request for the request to stay in the hall, 0 if other halls are used
	// as well.
	BeginWithin time.Duration
	// Send is set if the request is about to be sent to the picked replica.
	Send bool
	// Contact is set by a pick to the replicas to which the caller must make a connection
	// and record the result: they were silent, and without that they would be chosen.
	Contact []site.Upstream

	// candidates are the replicas that were drawn for the next pick from a large pool. The
	// first ones are the subset that the nodes of the data hall share.
	candidates []*member
	subset     int
	// needsRoom is set during a pick for a request that may be sent only where it fits
	// with all that is held, reserved is the share of memory that it leaves free.
	needsRoom bool
	reserved  float64
	// follows is set if the affinity replica has the shared parts in prefill for another
	// prompt of this node. partGain is how many times the prefill of the shared tokens that it
	// lacks counts in its favour.
	follows  bool
	partGain float64
	// meeting is set if partGain counts, so that the request prefers the replica where its
	// shared parts may be in prefill. It does not at a replica that does not report its
	// cache: all prompts with a part in steady use would follow each other there.
	meeting bool
}

// beginBy returns by when a replica with a version of the weights must be expected to begin the
// prompt, zero for any time.
func (in *PickInput) beginBy(version int64) time.Time {
	replacedAt := in.Weights.ReplacedAt(version)
	if replacedAt.IsZero() {
		return replacedAt
	}
	return replacedAt.Add(in.WeightsTerm)
}

// allowsSoftware reports whether the request may run on a version of the software.
func (in *PickInput) allowsSoftware(version string) bool {
	return in.Software.allows(version) && (len(in.UnlistedSoftware) == 0 || !slices.Contains(in.UnlistedSoftware, version))
}

// SoftwareRule restricts requests by the version of the replicas' software. The zero rule
// allows all.
type SoftwareRule struct {
	Version string
	// Excluded means that replicas of the version are not used, instead of them only.
	Excluded bool
	// Pinned means that the request is of a stream that the version has begun, so that no other
	// may be used, also if the version is "".
	Pinned bool
}

// allows reports whether a replica with a version of its software may be used.
func (r *SoftwareRule) allows(version string) bool {
	if r.Pinned {
		return r.Version == version
	}
	return r.Version == "" || (r.Version == version) != r.Excluded
}

// CacheCoverage is what a replica has cached of a prompt's shared tokens, or can fetch.
type CacheCoverage struct {
	// Known is set if the replica itself reports what it has cached. Cached is the number
	// of tokens of that, Fetched the number that it can fetch.
	Known   bool
	Cached  int
	Fetched int
	Wait    time.Duration // Time of the fetch.
}

// tokensToPrefill is how many tokens a replica has to prefill. The affinity replica is assumed
// to have what another prompt of this node has in prefill there, or if it does not report its
// cache, some of what can't be fetched.
func (in *PickInput) tokensToPrefill(coverage CacheCoverage, affinity bool) float64 {
	tokens := float64(in.Tokens - coverage.Cached - coverage.Fetched)
	switch {
	case affinity && in.follows:
		tokens -= float64(in.sharedToPrefill(coverage))
	case affinity && !coverage.Known:
		tokens -= affinityCachedShare * float64(in.Shared-coverage.Fetched)
	}
	return tokens
}

// sharedToPrefill is how many shared tokens a replica neither has cached nor can fetch.
func (in *PickInput) sharedToPrefill(coverage CacheCoverage) int {
	return max(0, in.Shared-coverage.Cached-coverage.Fetched)
}

// mayRunIn reports whether the request may run in a region.
func (in *PickInput) mayRunIn(region string) bool {
	return !in.HomesOnly || slices.Contains(in.Homes, region)
}

// Choice is the replica picked for a request, with the estimates behind the pick.
type Choice struct {
	site.Upstream
	// NewConnection is set if the replica was silent and was not reached since: the request
	// must not be sent on a connection from before.
	NewConnection bool
	// HallExit is why the replica is not in the data hall of this node.
	HallExit HallExit
	// Follows is set if the replica has the request's shared parts in prefill for another
	// prompt of this node.
	Follows bool
	// Weights is the version of the model's weights there, 0 if unknown.
	Weights int64
	// Expected is the expected time to the first byte of the answer.
	Expected time.Duration
	// ExpectedAtMeanLatency is what Expected would be if the replica had the mean latency
	// ratio of the pool.
	ExpectedAtMeanLatency time.Duration
	// Fetch is the part of Expected that is spent on a fetch of KV cache.
	Fetch time.Duration
	// PrefillTokens is the number of the request's tokens that the replica is expected to
	// prefill.
	PrefillTokens int
	// TokensAhead is the number of tokens that it prefills before those, and Band the
	// request's priority band.
	TokensAhead int
	Band        int
	// Wait is the part of Expected until the prefill of the request starts.
	Wait time.Duration
	// Memory is the engine memory that the request will hold, in tokens.
	Memory int
	// NoRoom is set if the request may be sent only to an engine where it fits, and does not
	// fit there.
	NoRoom bool
	// Bytes is the size of the request's body.
	Bytes int64
	// prefills is the hash of the shared parts of which the replica prefills some, 0 for none.
	prefills uint64
}
