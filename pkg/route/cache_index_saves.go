package route

import (
	"slices"
	"time"

	"github.com/drumpath/drumpath/pkg/rendezvous"
)

// pendingSave is a save that this node has asked for and that isn't confirmed yet.
type pendingSave struct {
	tokens  int
	expires time.Time
}

// PlanLimits restrict a plan.
type PlanLimits struct {
	// MaxFetchTime is the time that a fetch must be expected to stay below.
	MaxFetchTime time.Duration
	// Save is set if parts may be saved.
	Save bool
	// HomesOnly is set if nothing may be saved outside the regions in Homes.
	HomesOnly bool
	Homes     []string
	SourceRules
}

// mayStoreIn reports whether parts may be saved in a region.
func (l *PlanLimits) mayStoreIn(region string) bool {
	return !l.HomesOnly || slices.Contains(l.Homes, region)
}

// planSave adds the save of a part to a plan if a store has room. A part that a store
// already has is copied only to a much faster store.
func (x *CacheIndex) planSave(plan *Plan, i int, key partKey, tokens int, bytes int64, existing *indexedStore, hall string, limits *PlanLimits, now time.Time) {
	var s *indexedStore
	switch {
	case !x.disabled.StoreByHash && len(x.names) >= minHashedStores:
		s = x.storeByHash(key, tokens, bytes, existing, hall, limits, now)
	case existing != nil:
		s = x.fasterStore(key, tokens, bytes, existing, hall, limits, now)
	default:
		s = x.storeWithRoom(key, tokens, hall, limits, now)
	}
	if s == nil {
		return
	}
	plan.Saves[i] = s.Addr
	plan.Saved += tokens
	plan.plannedSaves = append(plan.plannedSaves, plannedSave{store: s, key: key})
	s.savesPlanned++
	s.pendingSaves[key] = pendingSave{tokens: tokens, expires: now.Add(pendingSaveTimeout)}
	s.book(bytes, hall, now)
}

// maxSaveLinkWait is how long a store's link may be busy for a part to be saved there. An
// engine starts no transfer that would wait for more than two seconds, and other nodes'
// transfers are known late.
const maxSaveLinkWait = time.Second

// minHashedStores is the number of stores from which parts are distributed by their hash. With
// few stores little is lost if all nodes choose the same one, and the store's data hall and
// link, which the hash leaves out, matter more.
const minHashedStores = 8

// storeByHash picks the store to save a part at, nil for none: by the hash of the part among
// the stores that have room, weighted by their free room. If a store already has the part,
// only those are considered from which a fetch would take less than half the time. It picks
// none if a save of the same part is under way.
//
// All nodes choose the same store for a part, so that two of them don't save it twice, and
// different stores for different parts. When each took the store with the largest free share
// that it knew of, information that was up to a second old, all chose the same store, and
// 203 parts in 14 s found no room there while other stores had room.
func (x *CacheIndex) storeByHash(key partKey, tokens int, bytes int64, existing *indexedStore, hall string, limits *PlanLimits, now time.Time) *indexedStore {
	var best *indexedStore
	highest, hash := 0.0, uint64(HashPart(key.realm, key.part))
	for _, name := range x.names {
		s := x.stores[name]
		if v, ok := s.pendingSaves[key]; ok && now.Before(v.expires) {
			return nil
		}
		if !s.acceptsSaves(now) || !limits.mayStoreIn(s.Region) || s.busyUntil.Sub(now) > maxSaveLinkWait || s.freeTokens(tokens, now) <= 0 {
			continue
		}
		if existing != nil && (s.parts[key].tokens > 0 || s.fetchTime(bytes, hall, now) >= existing.fetchTime(bytes, hall, now)/2) {
			continue
		}
		// The node's own pending saves are left out of the share, as other nodes don't know them.
		share := maxFillShare*float64(s.Capacity) - float64(s.usedTokens)
		if score := rendezvous.Share(hash, s.nameHash, share); score > highest {
			best, highest = s, score
		}
	}
	return best
}

// fasterStore picks a store with room from which a fetch would take less than half
// the time, nil for none.
func (x *CacheIndex) fasterStore(key partKey, tokens int, bytes int64, existing *indexedStore, hall string, limits *PlanLimits, now time.Time) *indexedStore {
	var best *indexedStore
	shortest := existing.fetchTime(bytes, hall, now) / 2
	for _, name := range x.names {
		s := x.stores[name]
		if v, ok := s.pendingSaves[key]; ok && now.Before(v.expires) {
			return nil
		}
		if !s.acceptsSaves(now) || !limits.mayStoreIn(s.Region) || s.parts[key].tokens > 0 || s.freeTokens(tokens, now) <= 0 {
			continue
		}
		if t := s.fetchTime(bytes, hall, now); t < shortest {
			best, shortest = s, t
		}
	}
	return best
}

// acceptsSaves reports whether parts may be saved at the store.
func (s *indexedStore) acceptsSaves(now time.Time) bool {
	return s.fresh && s.boot != 0 && !now.Before(s.savesAllowedFrom)
}

// freeTokens is how many tokens would stay free after one more part.
func (s *indexedStore) freeTokens(tokens int, now time.Time) float64 {
	return maxFillShare*float64(s.Capacity) - float64(s.usedTokens+s.pendingTokens(now)+tokens)
}

// storeWithRoom picks the store to save a part at, nil for none: the one with the
// largest free share, so that stores fill evenly, with a preference for the same data
// hall. It picks none if a save of the same part is under way.
func (x *CacheIndex) storeWithRoom(key partKey, tokens int, hall string, limits *PlanLimits, now time.Time) *indexedStore {
	var best *indexedStore
	largestShare := 0.0
	for _, name := range x.names {
		s := x.stores[name]
		if v, ok := s.pendingSaves[key]; ok && now.Before(v.expires) {
			return nil
		}
		if !s.acceptsSaves(now) || !limits.mayStoreIn(s.Region) {
			continue
		}
		remaining := s.freeTokens(tokens, now)
		share := remaining / float64(max(1, s.Capacity))
		if s.DataHall == hall {
			share += sameHallBonus
		}
		if remaining > 0 && share > largestShare {
			best, largestShare = s, share
		}
	}
	return best
}

// pendingTokens is how many tokens the saves under way will take.
func (s *indexedStore) pendingTokens(now time.Time) int {
	n := 0
	for key, v := range s.pendingSaves {
		if now.After(v.expires) {
			delete(s.pendingSaves, key)
			s.savesLost++
			continue
		}
		n += v.tokens
	}
	return n
}
