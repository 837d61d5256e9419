package suspect

import (
	"math"
	"time"
)

// threshold is the score from which a part is blocked. Each end of a replica of the service that the part does not
// explain is one more at which a sound part may have been in flight by chance (Bonferroni correction).
func (r *Register) threshold(part *entry) float64 {
	return blockScore + math.Log(float64(1+r.unexplainedEnds(part)))
}

// unexplainedEnds counts the replicas of the service that have ended since the first end under a part, and neither under
// it nor under a blocked one.
func (r *Register) unexplainedEnds(part *entry) (n int) {
	if len(part.Ends) == 0 {
		return 0
	}
	first := part.Ends[0].EndedAt
	for replica, endedAt := range r.serviceEnds[part.Service] {
		if _, explained := r.explained[replica]; !explained && !endedAt.Before(first) && !part.hasEnd(replica) {
			n++
		}
	}
	return n
}

// recordServiceEnds remembers when replicas of a service ended.
func (r *Register) recordServiceEnds(c *Case) {
	if c.Kind != KindPart {
		return
	}
	ends := r.serviceEnds[c.Service]
	if ends == nil {
		ends = map[string]time.Time{}
		r.serviceEnds[c.Service] = ends
	}
	for _, e := range c.Ends {
		if known, ok := ends[e.Replica]; len(ends) < maxServiceEnds && (!ok || e.EndedAt.Before(known)) {
			ends[e.Replica] = e.EndedAt
		}
	}
}
