package route

import (
	"slices"
	"time"
)

// saving is a save that this node has asked for and that is not known to be done.
type saving struct {
	tokens int
	until  time.Time
}

// PlanLimits bound what a plan may do.
type PlanLimits struct {
	// MaxFetchTime is the longest that a fetch may be expected to take.
	MaxFetchTime time.Duration
	// Save says that parts that no store has are saved.
	Save bool
	// HomesOnly says that nothing is saved outside the regions of Homes.
	HomesOnly bool
	Homes     []string
	// CompleteBefore, if set, is when a part must have been whole to be fetched: while
	// weights are replaced, later ones may have been made under either.
	CompleteBefore time.Time
}

// mayKeepIn says whether parts may be saved in a region.
func (l *PlanLimits) mayKeepIn(region string) bool {
	return !l.HomesOnly || slices.Contains(l.Homes, region)
}

// save has a part saved where there is room; one that is used often is saved a
// second time if that store is much faster.
func (k *CacheIndex) save(p *Plan, i int, key partKey, tokens int, bytes int64, has *keptStore, hall string, l *PlanLimits, now time.Time) {
	s := k.room(key, tokens, hall, l, now)
	if has != nil {
		s = k.faster(key, tokens, bytes, has, hall, l, now)
	}
	if s == nil {
		return
	}
	p.Saves[i] = s.Addr
	p.Saved += tokens
	p.plannedSaves = append(p.plannedSaves, plannedSave{store: s, key: key})
	s.saving[key] = saving{tokens: tokens, until: now.Add(saveTerm)}
	s.book(bytes, hall, now)
}

// faster picks a store with room from which a part would come in less than half
// the time, nil for none.
func (k *CacheIndex) faster(key partKey, tokens int, bytes int64, has *keptStore, hall string, l *PlanLimits, now time.Time) *keptStore {
	var best *keptStore
	least := has.fetchTime(bytes, hall, now) / 2
	for _, name := range k.names {
		s := k.stores[name]
		if v, ok := s.saving[key]; ok && now.Before(v.until) {
			return nil
		}
		if !s.open(now) || !l.mayKeepIn(s.Region) || s.parts[key].tokens > 0 || s.left(tokens, now) <= 0 {
			continue
		}
		if t := s.fetchTime(bytes, hall, now); t < least {
			best, least = s, t
		}
	}
	return best
}

// open says whether parts may be saved at the store now.
func (s *keptStore) open(now time.Time) bool {
	return s.heard && s.boot != 0 && !now.Before(s.settled)
}

// left is the room in tokens behind one more part.
func (s *keptStore) left(tokens int, now time.Time) float64 {
	return roomShare*float64(s.Capacity) - float64(s.used+s.pending(now)+tokens)
}

// room picks the store to save a part at, nil for none: the one with the largest
// share of its room free, so that they fill evenly, but rather one in the same
// data hall; and none if a save of the same part is under way.
func (k *CacheIndex) room(key partKey, tokens int, hall string, l *PlanLimits, now time.Time) *keptStore {
	var best *keptStore
	free := 0.0
	for _, name := range k.names {
		s := k.stores[name]
		if v, ok := s.saving[key]; ok && now.Before(v.until) {
			return nil
		}
		if !s.open(now) || !l.mayKeepIn(s.Region) {
			continue
		}
		left := s.left(tokens, now)
		share := left / float64(max(1, s.Capacity))
		if s.DataHall == hall {
			share += nearShare
		}
		if left > 0 && share > free {
			best, free = s, share
		}
	}
	return best
}

// pending is the room that saves under way will take.
func (s *keptStore) pending(now time.Time) int {
	n := 0
	for key, v := range s.saving {
		if now.After(v.until) {
			delete(s.saving, key)
			continue
		}
		n += v.tokens
	}
	return n
}
