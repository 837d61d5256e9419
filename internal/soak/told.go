package soak

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/drumpath/drumpath/internal/standin/onplatform"
)

const (
	// drainBound is for how long after an answer that says that its replica drains requests
	// that clients sent meanwhile may reach it.
	drainBound = 2 * time.Second
	// backoffLag is from when on a replica gets no more than backoffMost of a node's requests
	// until the end of the backoff that it asked for.
	backoffLag  = 500 * time.Millisecond
	backoffMost = 2
	// quietDrain is for how long a replica serves on that says in its answers only that it drains.
	quietDrain = 3500 * time.Millisecond
)

// Headers by which clients tell replicas the node that they ask, and when.
const (
	headerNode = "Soak-Node"
	headerSent = "Soak-Sent"
)

// told is what a replica has said to one node.
type told struct {
	drains  time.Time // Since when, zero for not yet.
	from    time.Time // When it last asked for backoff,
	until   time.Time // and until when.
	arrived int       // Requests that were sent behind backoffLag of it.
}

// hear checks a request against what the replica has said to its node, and returns the fields
// with which it is told more.
func (r *replica) hear(q *onplatform.Request, refused bool) (fields string) {
	n := r.nodeOf(q.Header.Get(headerNode))
	sentAt, err := strconv.ParseInt(q.Header.Get(headerSent), 10, 64)
	if n == nil || err != nil {
		return "" // It is no client's.
	}
	now, sent := time.Now(), time.Unix(0, sentAt)
	r.toldMu.Lock()
	defer r.toldMu.Unlock()
	t := r.told[n]
	if t == nil {
		t = &told{}
		r.told[n] = t
	}
	if !t.drains.IsZero() && sent.Sub(t.drains) > drainBound && !n.struckSince(t.drains) {
		r.ledger.fail("replica %s got a request of %s that came %s after it had said that it drains", r.ID, n.name, sent.Sub(t.drains))
	}
	if sent.After(t.from.Add(backoffLag)) && now.Before(t.until) && !n.struckSince(t.from) {
		if t.arrived++; t.arrived > backoffMost {
			r.ledger.fail("replica %s got %d requests of %s within a backoff of %s", r.ID, t.arrived, n.name, t.until.Sub(t.from))
		}
	}
	if r.drains.Load() {
		fields = "Server-Leaving: 1\r\n"
		if t.drains.IsZero() {
			t.drains = now
		}
	}
	if d := time.Duration(r.backoff.Load()); refused && d > 0 {
		fields += fmt.Sprintf("Retry-After: %g\r\n", d.Seconds())
		if until := now.Add(d); until.After(t.until) {
			t.from, t.until, t.arrived = now, until, 0
		}
	}
	return fields
}

// fieldWriter adds header lines to an answer whose head is written at once.
type fieldWriter struct {
	w      io.Writer
	fields string
}

// Write implements io.Writer.
func (f fieldWriter) Write(p []byte) (int, error) {
	head, rest, found := bytes.Cut(p, []byte("\r\n"))
	if f.fields == "" || !found || !bytes.HasPrefix(head, []byte("HTTP/1.1 ")) {
		return f.w.Write(p)
	}
	if _, err := f.w.Write(slices.Concat(head, []byte("\r\n"+f.fields), rest)); err != nil {
		return 0, err
	}
	return len(p), nil
}

// nodeOf finds a node by its name, nil if there is none.
func (s *soak) nodeOf(name string) *node {
	for _, n := range s.nodes {
		if n.name == name {
			return n
		}
	}
	return nil
}

// drainQuietly has a replica say in its answers that it drains, and end; its row stays ready.
func (s *soak) drainQuietly(rng *rand.Rand, _ time.Duration) {
	if old := s.swapReplica(rng); old != nil {
		old.drains.Store(true)
		time.Sleep(quietDrain)
		s.store.Delete(onplatform.TableUpstreams, old.ID)
		s.retire(old)
	}
}

// busyReplica has a replica turn requests away and ask for backoff.
func (s *soak) busyReplica(rng *rand.Rand, d time.Duration) {
	r := s.anyReplica(rng)
	r.backoff.Store(int64(faultLeast) + rng.Int64N(int64(faultMost)))
	r.way.Store(replicaRefuses)
	time.Sleep(d)
	r.way.Store(replicaServes)
	r.backoff.Store(0)
}
