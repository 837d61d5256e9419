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
	// maxDrainLag is how long after an answer that announces a drain clients may send requests
	// that the node still passes to the replica.
	maxDrainLag = 2 * time.Second
	// maxBackoffLag is how long after a replica asked for backoff a node's requests are not
	// counted. Of those sent later, at most maxBackoffRequests may reach the replica before
	// the backoff ends.
	maxBackoffLag      = 500 * time.Millisecond
	maxBackoffRequests = 2
	// unlistedDrainTime is how long a replica still serves while only its answers, not its
	// row, announce a drain.
	unlistedDrainTime = 3500 * time.Millisecond
)

// Headers that carry the node to which a client sent the request, and the time.
const (
	headerNode = "Soak-Node"
	headerSent = "Soak-Sent"
)

// advice is what a replica's answers have announced to one node: a drain, or a backoff.
type advice struct {
	drainingSince     time.Time // Zero if not announced.
	backoffFrom       time.Time // When the replica last asked for backoff,
	backoffUntil      time.Time // and until when.
	requestsInBackoff int       // Those sent more than maxBackoffLag after backoffFrom.
}

// checkRequest checks a request against the advice that its node has received, and returns
// header lines with new advice for the answer.
func (r *replica) checkRequest(q *onplatform.Request, refused bool) (headerLines string) {
	n := r.nodeByName(q.Header.Get(headerNode))
	sentAt, err := strconv.ParseInt(q.Header.Get(headerSent), 10, 64)
	if n == nil || err != nil {
		return "" // Not sent by a client of the soak.
	}
	now, sent := time.Now(), time.Unix(0, sentAt)
	r.adviceMu.Lock()
	defer r.adviceMu.Unlock()
	given := r.advice[n]
	if given == nil {
		given = &advice{}
		r.advice[n] = given
	}
	if !given.drainingSince.IsZero() && sent.Sub(given.drainingSince) > maxDrainLag && !n.disruptedSince(given.drainingSince) {
		r.checker.addViolation("replica %s got a request of %s that came %s after it had said that it drains", r.ID, n.name, sent.Sub(given.drainingSince))
	}
	if sent.After(given.backoffFrom.Add(maxBackoffLag)) && now.Before(given.backoffUntil) && !n.disruptedSince(given.backoffFrom) {
		if given.requestsInBackoff++; given.requestsInBackoff > maxBackoffRequests {
			r.checker.addViolation("replica %s got %d requests of %s within a backoff of %s", r.ID, given.requestsInBackoff, n.name, given.backoffUntil.Sub(given.backoffFrom))
		}
	}
	if r.draining.Load() {
		headerLines = "Server-Leaving: 1\r\n"
		if given.drainingSince.IsZero() {
			given.drainingSince = now
		}
	}
	if d := time.Duration(r.backoff.Load()); refused && d > 0 {
		headerLines += fmt.Sprintf("Retry-After: %g\r\n", d.Seconds())
		if until := now.Add(d); until.After(given.backoffUntil) {
			given.backoffFrom, given.backoffUntil, given.requestsInBackoff = now, until, 0
		}
	}
	return headerLines
}

// headerWriter adds header lines to an answer whose head is written in one call.
type headerWriter struct {
	w           io.Writer
	headerLines string
}

// Write implements io.Writer.
func (f headerWriter) Write(p []byte) (int, error) {
	head, rest, found := bytes.Cut(p, []byte("\r\n"))
	if f.headerLines == "" || !found || !bytes.HasPrefix(head, []byte("HTTP/1.1 ")) {
		return f.w.Write(p)
	}
	if _, err := f.w.Write(slices.Concat(head, []byte("\r\n"+f.headerLines), rest)); err != nil {
		return 0, err
	}
	return len(p), nil
}

// nodeByName returns the node with a name, nil if there is none.
func (s *soak) nodeByName(name string) *node {
	for _, n := range s.nodes {
		if n.name == name {
			return n
		}
	}
	return nil
}

// drainUnlisted replaces a replica, whose answers then announce a drain while its row is still
// "ready".
func (s *soak) drainUnlisted(rng *rand.Rand, _ time.Duration) {
	if old := s.replaceRandomReplica(rng); old != nil {
		old.draining.Store(true)
		time.Sleep(unlistedDrainTime)
		s.store.Delete(onplatform.TableUpstreams, old.ID)
		s.retire(old)
	}
}

// backoffReplica makes a replica refuse requests and ask for backoff.
func (s *soak) backoffReplica(rng *rand.Rand, d time.Duration) {
	r := s.anyReplica(rng)
	r.backoff.Store(int64(minFaultTime) + rng.Int64N(int64(maxFaultTime)))
	r.behaviour.Store(behaviourRefuse)
	time.Sleep(d)
	r.behaviour.Store(behaviourServe)
	r.backoff.Store(0)
}
