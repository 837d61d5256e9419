package route

import (
	"math"
	"time"
)

const (
	// latenessWeight is the weight of the newest transfer in the mean lateness.
	latenessWeight = 0.25
	// maxLateness bounds the lateness of one transfer.
	maxLateness = 4
)

// Booking is a transfer's reservation of time on two links.
type Booking struct {
	links     *Links
	linkNames [2]string
	bytes     int64
	startedAt time.Time
	expected  time.Duration
	reserved  [2]time.Duration
	ended     bool
}

// Expected returns the expected duration of the transfer.
func (b *Booking) Expected() time.Duration { return b.expected }

// End releases the reservation and updates the links' rates from the time that the
// transfer took. moved is 0 for one that was refused, which says nothing about the links.
func (b *Booking) End(moved int64, now time.Time) {
	b.links.mu.Lock()
	defer b.links.mu.Unlock()
	if b.ended {
		return
	}
	b.ended = true
	elapsed := now.Sub(b.startedAt)
	for i, name := range b.linkNames {
		link := b.links.get(name)
		delete(link.bookings, b)
		// Release what is left of the reservation.
		if unused := b.reserved[i] - elapsed; unused > 0 {
			link.busyUntil = link.busyUntil.Add(-unused)
		}
		if moved == 0 {
			continue
		}
		link.moved += moved
		if b.expected > 0 && moved == b.bytes {
			ratio := b.expected.Seconds() / max(elapsed.Seconds(), 1e-4)
			link.learn(ratio, rateWeight, now)
		}
	}
}

// GiveUp ends the booking of a transfer that was abandoned as too slow. Its real duration
// is unknown but longer than the elapsed time, so the estimated rate drops all the way to
// that bound.
func (b *Booking) GiveUp(now time.Time) {
	b.links.mu.Lock()
	for _, name := range b.linkNames {
		b.links.get(name).learn(b.expected.Seconds()/max(now.Sub(b.startedAt).Seconds(), 1e-4), 1, now)
	}
	b.links.mu.Unlock()
	b.End(0, now)
}

// learn moves the estimated share of the nominal rate towards an observed ratio, by a
// weight from 0 to 1; the caller holds the lock.
func (s *linkState) learn(ratio, weight float64, now time.Time) {
	lateness := min(maxLateness, max(0, 1/ratio-1))
	s.meanLateness = s.meanLateness*s.observationWeight(now)*(1-latenessWeight) + lateness*latenessWeight
	current := s.rate(now) / s.nominal
	s.rateShare = min(1, max(minRateShare, current*math.Pow(ratio, weight)))
	s.observedAt = now
}
