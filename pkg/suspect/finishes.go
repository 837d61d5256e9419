package suspect

import (
	"math/rand/v2"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// QuickHash hashes a request and its organisation, in 10 us for 100 kB. It is not collision
// resistant: an organisation that crafts two requests with one hash only achieves that a
// finish of one clears the other, among its own requests.
func QuickHash(organisation, method, host, target string, body []byte) uint64 {
	h := xxhash.New()
	for _, text := range []string{organisation, method, strings.ToLower(host), target} {
		_, _ = h.WriteString(text + "\x00") // It never fails.
	}
	_, _ = h.Write(body) // It never fails.
	return max(1, h.Sum64())
}

const (
	// finishMemory is how long the finishes of a cause are remembered at least, unless there are too many causes.
	finishMemory = 30 * time.Second
	// maxRemembered bounds the causes of which finishes are remembered in a finishMemory, some 140 bytes each: 270 a
	// second, of requests and parts that are not the same.
	maxRemembered = 8192
	// finishesPerCause is how many of its finishes are remembered: enough to outweigh trustedEnds ends.
	finishesPerCause = 6
)

// finishRing holds the last finishes of one cause.
type finishRing struct {
	list [finishesPerCause]Finish
	n    int // Number of finishes that were added.
}

func (f *finishRing) add(at time.Time) {
	f.list[f.n%finishesPerCause] = Finish{ID: rand.Uint32(), At: at}
	f.n++
}

// sorted returns the finishes, sorted by time.
func (f *finishRing) sorted() []Finish {
	list := make([]Finish, 0, finishesPerCause)
	for i := max(0, f.n-finishesPerCause); i < f.n; i++ {
		list = append(list, f.list[i%finishesPerCause])
	}
	return list
}

// recentFinishes remembers when causes were last finished at this node, for one to two
// times finishMemory.
type recentFinishes struct {
	current, previous map[uint64]*finishRing
	currentSince      time.Time // When current was begun.
}

// record remembers a finish. When current is full, previous is dropped early.
func (m *recentFinishes) record(quickHash uint64, now time.Time) {
	if m.current == nil || now.Sub(m.currentSince) >= finishMemory || len(m.current) >= maxRemembered {
		m.previous, m.current, m.currentSince = m.current, map[uint64]*finishRing{}, now
	}
	ring := m.current[quickHash]
	if ring == nil {
		if ring = m.previous[quickHash]; ring == nil {
			ring = &finishRing{}
		}
		m.current[quickHash] = ring
	}
	ring.add(now)
}

// of returns the remembered finishes of a cause, sorted by time.
func (m *recentFinishes) of(quickHash uint64) []Finish {
	ring := m.current[quickHash]
	if ring == nil {
		ring = m.previous[quickHash]
	}
	if ring == nil {
		return nil
	}
	return ring.sorted()
}
