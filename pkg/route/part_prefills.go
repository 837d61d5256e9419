package route

import "time"

// Prompts with the same shared parts that come at the same moment should run at the same
// replica, as each other one would prefill the parts again. Neither a store nor the
// replica's own reports show a part until some time after its prefill. So a prompt prefers
// the replica at which this node has another one with the same parts in prefill. Prompts of
// other nodes are not known, but those nodes prefer the replica that the parts are assigned
// to by their hash.

// partPrefill is the prefill of some shared parts by this node's own prompts at one replica.
type partPrefill struct {
	member  *member
	waiting int       // Prompts without a first byte.
	until   time.Time // Until then the replica may have parts that it has not reported.
}

const (
	// assignedPartGain is by how many times the prefill of the shared tokens that it lacks the
	// replica that they are assigned to is preferred. In a replay with 81 nodes in which each
	// part is used for a second, 0.63 of the shared tokens of long prompts and 0.40 of those of
	// short ones were prefilled again without a preference, 0.48 and 0.32 with it; 0.6 and 0.9
	// differ by at most 0.013. If no part comes twice, more prompts are late with larger values.
	assignedPartGain = 0.3
	// runningPartGain is the same while this node has a prompt with the shared tokens in
	// prefill at a replica, as these tokens count in the replica's queue and would have to be
	// prefilled anywhere else. prefilledPartGain is the same from the first byte on.
	runningPartGain   = 2.0
	prefilledPartGain = 1.0
	// cacheReportDelay is how long after the first byte of a prompt its parts are known to be
	// cached at the latest: reports of replicas in other halls pass two nodes.
	cacheReportDelay = 500 * time.Millisecond
	// maxPartPrefills bounds the parts that are tracked.
	maxPartPrefills = 4096
)

// active reports whether a prompt with the parts that begins now would find them cached.
func (f *partPrefill) active(now time.Time) bool {
	return !f.member.removed() && (f.waiting > 0 || now.Before(f.until))
}

// end records that a prompt has been prefilled, or has ended before, if until is zero.
func (f *partPrefill) end(until time.Time) {
	if f == nil {
		return
	}
	f.waiting--
	if until.After(f.until) {
		f.until = until
	}
}

// partsToPrefill returns the hash of the shared parts if some of their tokens have to be
// prefilled, or else 0.
func (in *PickInput) partsToPrefill(coverage CacheCoverage) uint64 {
	if in.sharedToPrefill(coverage) == 0 {
		return 0
	}
	return in.Affinity
}

// prefilling returns the replica at which this node's prompts with the same shared parts are
// in prefill, nil if there is none.
func (p *Pool) prefilling(in *PickInput, now time.Time) *member {
	in.follows, in.partGain = false, assignedPartGain
	f := p.prefills[in.Affinity]
	if f == nil || in.BeginWithin == 0 || !in.Coverage[f.member.ID].Known || !f.active(now) {
		return nil
	}
	in.follows, in.partGain = true, prefilledPartGain
	if f.waiting > 0 {
		in.partGain = runningPartGain
	}
	return f.member
}

// limitPartGain gives up the preference of the replica that the shared parts are assigned to
// if another one is known to need none of their tokens.
func (in *PickInput) limitPartGain(list []candidate, affinity *member) {
	if affinity == nil || in.follows || !in.meeting || in.sharedToPrefill(in.Coverage[affinity.ID]) == 0 {
		return
	}
	for _, c := range list {
		if in.sharedToPrefill(in.Coverage[c.member.ID]) == 0 {
			in.partGain = 0
			return
		}
	}
}

// meetingGain is by how many seconds the affinity replica is preferred to others. It is
// bounded by the prefill of the shared tokens, so that prompts with a part in high demand go
// elsewhere once the replica's queue is longer than that.
func (p *Pool) meetingGain(m *member, in *PickInput) float64 {
	return in.partGain * float64(in.sharedToPrefill(in.Coverage[m.ID])) * p.secondsPerToken
}

// beginPrefill records that a replica is sent a prompt of which it prefills shared parts. Of
// several replicas that prefill the same parts, the first one is tracked.
func (p *Pool) beginPrefill(parts uint64, m *member, now time.Time) *partPrefill {
	if parts == 0 {
		return nil
	}
	f := p.prefills[parts]
	if f == nil || !f.active(now) {
		if len(p.prefills) >= maxPartPrefills {
			p.pruneParts(now)
		}
		f = &partPrefill{member: m}
		p.prefills[parts] = f
	}
	if f.member != m {
		return nil
	}
	f.waiting++
	return f
}

// pruneParts removes the parts that are not in prefill, or all if there are too many.
func (p *Pool) pruneParts(now time.Time) {
	for parts, f := range p.prefills {
		if !f.active(now) {
			delete(p.prefills, parts)
		}
	}
	if len(p.prefills) >= maxPartPrefills {
		clear(p.prefills)
	}
}

// withAffinity returns the first n of the candidates and the affinity replica, if it may
// already be prefilling some of the prompt. Otherwise it would rarely be drawn.
func withAffinity(list []candidate, n int, in *PickInput, affinity *member) []candidate {
	if affinity == nil || !in.meeting || in.partGain == 0 || in.partsToPrefill(in.Coverage[affinity.ID]) == 0 {
		return list[:n]
	}
	for i := n; i < len(list); i++ {
		if list[i].member == affinity {
			list[n], list[i] = list[i], list[n]
			return list[:n+1]
		}
	}
	return list[:n]
}
