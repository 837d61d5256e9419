package route

import (
	"math"
	"time"

	"github.com/drumpath/drumpath/pkg/locks"
)

const (
	defaultLinkRate = 100e6
	// minRateShare is the lowest share of its nominal rate that a link is estimated at.
	minRateShare = 0.01
	// rateWeight is how strongly one transfer moves the estimated rate, as an
	// exponent on the ratio of time taken to time expected.
	rateWeight = 0.5
	// rateRecovery is the time constant with which the estimated rate of an unused
	// link returns to its nominal one, so that a link that was slow is tried again.
	rateRecovery = 20 * time.Second
)

// Links tracks the rates and bookings of the links of engines and stores.
type Links struct {
	mu    locks.Mutex
	links map[string]*linkState
}

type linkState struct {
	nominal      float64 // Bytes a second.
	rateShare    float64 // Observed rate as a share of the nominal one.
	meanLateness float64 // Of transfers, as a share of the expected time.
	observedAt   time.Time
	busyUntil    time.Time // Expected end of all bookings.
	moved        int64
	// The counters last reported by the engine or store.
	reportedMoved int64
	reportedBusy  time.Duration
	bookings      map[*Booking]struct{} // Transfers under way.
}

// NewLinks returns an empty Links; unknown links have the default rate.
func NewLinks() *Links { return &Links{links: map[string]*linkState{}} }

func (l *Links) get(name string) *linkState {
	s, ok := l.links[name]
	if !ok {
		s = &linkState{nominal: defaultLinkRate, rateShare: 1, bookings: map[*Booking]struct{}{}}
		l.links[name] = s
	}
	return s
}

// rate is the estimated rate in bytes a second.
func (s *linkState) rate(now time.Time) float64 {
	share := 1 - (1-s.rateShare)*s.observationWeight(now)
	return s.nominal * share
}

// observationWeight is the weight of past observations, which decays over rateRecovery.
func (s *linkState) observationWeight(now time.Time) float64 {
	return math.Exp(-max(0, now.Sub(s.observedAt).Seconds()/rateRecovery.Seconds()))
}

// Report records a link's nominal rate and the bytes queued on it.
func (l *Links) Report(name string, rate float64, queue int64, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.get(name)
	if rate > 0 {
		s.nominal = rate
	}
	if end := now.Add(seconds(float64(queue) / s.rate(now))); end.After(s.busyUntil) {
		s.busyUntil = end
	}
}

// NominalRate returns a link's nominal rate in bytes a second, a default if it has not been
// reported.
func (l *Links) NominalRate(name string) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s, ok := l.links[name]; ok {
		return s.nominal
	}
	return defaultLinkRate
}

// minBusySample is the least busy time from which a rate is computed.
const minBusySample = 50 * time.Millisecond

// UpdateCounters records a link's own counters: the bytes it has transferred and for
// how long it was busy with them. Their growth gives the real rate even before this
// node has had a transfer over the link.
func (l *Links) UpdateCounters(name string, moved int64, busy time.Duration, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.get(name)
	bytes, took := moved-s.reportedMoved, busy-s.reportedBusy
	if bytes >= 0 && took >= 0 && took < minBusySample {
		return
	}
	s.reportedMoved, s.reportedBusy = moved, busy
	if bytes <= 0 || took <= 0 || bytes == moved {
		// The engine or store has restarted, or this is its first report.
		return
	}
	s.rateShare = min(1, max(minRateShare, float64(bytes)/took.Seconds()/s.nominal))
	s.observedAt = now
}

// Estimate returns how long a transfer over both links should take. For each link that is
// the time for its bookings and for the bytes, extended by the recent lateness of its
// transfers; the slower link counts. This node doesn't know the bookings of other nodes on
// the same links; the mean lateness is the best indicator of them.
func (l *Links) Estimate(a, b string, bytes int64, now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return max(l.get(a).estimateWithLateness(bytes, now), l.get(b).estimateWithLateness(bytes, now))
}

func (s *linkState) estimateWithLateness(bytes int64, now time.Time) time.Duration {
	lateness := max(s.meanLateness*s.observationWeight(now), s.overdue(now))
	return time.Duration(float64(s.estimate(bytes, now)) * (1 + lateness))
}

// overdue is the largest lateness so far of the transfers under way, so that a link
// that has just become slow is noticed before its first transfer ends.
func (s *linkState) overdue(now time.Time) float64 {
	worst := 0.0
	for booking := range s.bookings {
		worst = max(worst, now.Sub(booking.startedAt).Seconds()/max(booking.expected.Seconds(), minExpectedSeconds)-1)
	}
	return min(worst, maxLateness)
}

// minExpectedSeconds is the least expected time against which lateness is measured:
// any call takes some time, so short transfers would always look late.
const minExpectedSeconds = 0.05

// TransferSeconds returns how long a transfer occupies the slower of two links, without
// the wait for earlier bookings.
func (l *Links) TransferSeconds(a, b string, bytes int64, now time.Time) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return float64(bytes) / min(l.get(a).rate(now), l.get(b).rate(now))
}

func (s *linkState) estimate(bytes int64, now time.Time) time.Duration {
	return max(0, s.busyUntil.Sub(now)) + seconds(float64(bytes)/s.rate(now))
}

// Book reserves both links for a transfer; the caller ends the booking.
func (l *Links) Book(a, b string, bytes int64, now time.Time) *Booking {
	l.mu.Lock()
	defer l.mu.Unlock()
	booking := &Booking{links: l, linkNames: [2]string{a, b}, bytes: bytes, startedAt: now}
	for i, name := range booking.linkNames {
		s := l.get(name)
		booking.expected = max(booking.expected, s.estimate(bytes, now))
		booking.reserved[i] = seconds(float64(bytes) / s.rate(now))
		if s.busyUntil.Before(now) {
			s.busyUntil = now
		}
		s.busyUntil = s.busyUntil.Add(booking.reserved[i])
		s.bookings[booking] = struct{}{}
	}
	return booking
}

// Booked returns how long from now a link is booked.
func (l *Links) Booked(name string, now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return max(0, l.get(name).busyUntil.Sub(now))
}

// LinkStatus is the state of one link as shown in dumps.
type LinkStatus struct {
	Name   string        `json:"name"`
	Rate   float64       `json:"rate"` // Bytes a second, as estimated now.
	Booked time.Duration `json:"booked_ns"`
	Moved  int64         `json:"moved"` // Bytes transferred for this node.
}

// Status lists all links.
func (l *Links) Status(now time.Time) []LinkStatus {
	l.mu.Lock()
	defer l.mu.Unlock()
	var list []LinkStatus
	for name, s := range l.links {
		list = append(list, LinkStatus{Name: name, Rate: s.rate(now), Booked: max(0, s.busyUntil.Sub(now)), Moved: s.moved})
	}
	return list
}
