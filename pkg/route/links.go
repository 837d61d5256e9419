package route

import (
	"math"
	"sync"
	"time"
)

const (
	defaultLinkRate = 100e6
	// slowestShare bounds how far observations pull a link's rate down.
	slowestShare = 0.01
	// rateWeight is how strongly one transfer moves the believed rate, as an
	// exponent on the ratio of time taken to time expected.
	rateWeight = 0.5
	// recovery is how fast the believed rate of an unused link goes back to
	// its nominal one, so that a link that was slow is tried again.
	recovery = 20 * time.Second
)

// Links are the links of engines and stores as resources that are booked.
type Links struct {
	mu    sync.Mutex
	links map[string]*linkState
}

type linkState struct {
	nominal  float64 // Bytes a second.
	share    float64 // Of the nominal rate, as observed.
	late     float64 // Mean lateness of transfers, as a share of the expected time.
	observed time.Time
	busy     time.Time // Booked until.
	moved    int64
	// The counters last reported by the link's own end.
	countedMoved int64
	countedBusy  time.Duration
	open         map[*Booking]struct{} // Transfers under way.
}

// NewLinks returns links of which nothing is known.
func NewLinks() *Links { return &Links{links: map[string]*linkState{}} }

func (l *Links) get(name string) *linkState {
	s, ok := l.links[name]
	if !ok {
		s = &linkState{nominal: defaultLinkRate, share: 1, open: map[*Booking]struct{}{}}
		l.links[name] = s
	}
	return s
}

// rate is the believed rate in bytes a second.
func (s *linkState) rate(now time.Time) float64 {
	share := 1 - (1-s.share)*s.memory(now)
	return s.nominal * share
}

// memory is how much of what was observed still counts.
func (s *linkState) memory(now time.Time) float64 {
	return math.Exp(-max(0, now.Sub(s.observed).Seconds()/recovery.Seconds()))
}

// Report takes in a link's nominal rate and the bytes queued on it.
func (l *Links) Report(name string, rate float64, queue int64, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.get(name)
	if rate > 0 {
		s.nominal = rate
	}
	if end := now.Add(seconds(float64(queue) / s.rate(now))); end.After(s.busy) {
		s.busy = end
	}
}

// minCounted is the least busy time from which a rate is worked out.
const minCounted = 50 * time.Millisecond

// UpdateCounters takes in a link's own counters: the bytes it has moved and for how long
// it was busy with them. Their growth shows the rate that it really has, before
// this node has had a transfer over it.
func (l *Links) UpdateCounters(name string, moved int64, busy time.Duration, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.get(name)
	bytes, took := moved-s.countedMoved, busy-s.countedBusy
	if bytes >= 0 && took >= 0 && took < minCounted {
		return
	}
	s.countedMoved, s.countedBusy = moved, busy
	if bytes <= 0 || took <= 0 || bytes == moved {
		// It has restarted, or this is its first report.
		return
	}
	s.share = min(1, max(slowestShare, float64(bytes)/took.Seconds()/s.nominal))
	s.observed = now
}

// Estimate is by when a transfer over both links should be done, from now: the
// slower has worked off what is booked and moved the bytes, and it comes as late
// as transfers lately have. Other nodes book the same links unseen, so a busy
// link's transfers come late, and their mean lateness is the best sign of it.
func (l *Links) Estimate(a, b string, bytes int64, now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return max(l.get(a).cautious(bytes, now), l.get(b).cautious(bytes, now))
}

func (s *linkState) cautious(bytes int64, now time.Time) time.Duration {
	late := max(s.late*s.memory(now), s.overdue(now))
	return time.Duration(float64(s.estimate(bytes, now)) * (1 + late))
}

// overdue is the lateness so far of the latest transfer under way, so that a
// link that has just become slow is noticed before its first transfer ends.
func (s *linkState) overdue(now time.Time) float64 {
	worst := 0.0
	for k := range s.open {
		worst = max(worst, now.Sub(k.startedAt).Seconds()/max(k.expected.Seconds(), minExpected)-1)
	}
	return min(worst, maxLateness)
}

// minExpected keeps short transfers from looking late for the time that any
// call takes.
const minExpected = 0.05

// Seconds is for how long a transfer occupies the slower of two links, without
// what is booked.
func (l *Links) Seconds(a, b string, bytes int64, now time.Time) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return float64(bytes) / min(l.get(a).rate(now), l.get(b).rate(now))
}

func (s *linkState) estimate(bytes int64, now time.Time) time.Duration {
	return max(0, s.busy.Sub(now)) + seconds(float64(bytes)/s.rate(now))
}

// Book reserves both links for a transfer; the caller ends the booking.
func (l *Links) Book(a, b string, bytes int64, now time.Time) *Booking {
	l.mu.Lock()
	defer l.mu.Unlock()
	k := &Booking{links: l, linkNames: [2]string{a, b}, bytes: bytes, startedAt: now}
	for i, name := range k.linkNames {
		s := l.get(name)
		k.expected = max(k.expected, s.estimate(bytes, now))
		k.reserved[i] = seconds(float64(bytes) / s.rate(now))
		if s.busy.Before(now) {
			s.busy = now
		}
		s.busy = s.busy.Add(k.reserved[i])
		s.open[k] = struct{}{}
	}
	return k
}

// Booked is for how long a link is booked from now.
func (l *Links) Booked(name string, now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return max(0, l.get(name).busy.Sub(now))
}

// LinkStatus is what a dump shows of one link.
type LinkStatus struct {
	Name   string        `json:"name"`
	Rate   float64       `json:"rate"` // Bytes a second, as believed now.
	Booked time.Duration `json:"booked_ns"`
	Moved  int64         `json:"moved"` // Bytes, on this node's orders.
}

// Status lists all links.
func (l *Links) Status(now time.Time) []LinkStatus {
	l.mu.Lock()
	defer l.mu.Unlock()
	var list []LinkStatus
	for name, s := range l.links {
		list = append(list, LinkStatus{Name: name, Rate: s.rate(now), Booked: max(0, s.busy.Sub(now)), Moved: s.moved})
	}
	return list
}
