package route

import (
	"math"
	"time"
)

const (
	// lateWeight is the weight of the newest transfer in the mean lateness.
	lateWeight = 0.25
	// mostLate bounds what one transfer adds to it.
	mostLate = 4
)

// Booking is a transfer's reservation of two links.
type Booking struct {
	links    *Links
	names    [2]string
	bytes    int64
	begun    time.Time
	expected time.Duration
	reserved [2]time.Duration
	ended    bool
}

// Expected is how long the transfer was expected to take.
func (k *Booking) Expected() time.Duration { return k.expected }

// End gives the reservation back and learns from how long the transfer took;
// moved is 0 for one that was refused, which says nothing of the links.
func (k *Booking) End(moved int64, now time.Time) {
	k.links.mu.Lock()
	defer k.links.mu.Unlock()
	if k.ended {
		return
	}
	k.ended = true
	took := now.Sub(k.begun)
	for i, name := range k.names {
		s := k.links.get(name)
		delete(s.bookings, k)
		// What is left of the reservation beyond now falls free.
		if left := k.reserved[i] - took; left > 0 {
			s.busyUntil = s.busyUntil.Add(-left)
		}
		if moved == 0 {
			continue
		}
		s.moved += moved
		if k.expected > 0 && moved == k.bytes {
			ratio := k.expected.Seconds() / max(took.Seconds(), 1e-4)
			s.learn(ratio, rateWeight, now)
		}
	}
}

// GiveUp ends a transfer that was too slow. How slow is not known, only that it
// took longer than this, so the belief falls all the way to that bound.
func (k *Booking) GiveUp(now time.Time) {
	k.links.mu.Lock()
	for _, name := range k.names {
		k.links.get(name).learn(k.expected.Seconds()/max(now.Sub(k.begun).Seconds(), 1e-4), 1, now)
	}
	k.links.mu.Unlock()
	k.End(0, now)
}

// learn moves the believed share of the nominal rate towards what was seen, by
// a weight from 0 to 1; the caller holds the lock.
func (s *linkState) learn(ratio, weight float64, now time.Time) {
	lateness := min(mostLate, max(0, 1/ratio-1))
	s.meanLateness = s.meanLateness*s.observationWeight(now)*(1-lateWeight) + lateness*lateWeight
	current := s.rate(now) / s.nominal
	s.rateShare = min(1, max(minRateShare, current*math.Pow(ratio, weight)))
	s.observedAt = now
}
