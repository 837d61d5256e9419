package soak

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"slices"
	"strings"
	"time"

	"github.com/drumpath/drumpath/internal/standin/onplatform"
)

const (
	// crashBodyPrefix begins the body of a request that crashes each replica that runs it.
	crashBodyPrefix = "deadly "
	// crashPartPrefix begins the ID of a part that crashes each replica that runs a prompt with it.
	crashPartPrefix = "dead"
	// crashRequestPause is the pause between two repeats of such a request;
	// minCrashRequestTime is the minimum time for which it is repeated.
	crashRequestPause   = 50 * time.Millisecond
	minCrashRequestTime = 4 * time.Second
	// maxCrashes is how many replicas one such request may crash: three before the nodes
	// block it, and more for nodes that restart while the store is unavailable or that
	// are partitioned from the others.
	maxCrashes = 9
	// maxPartCrashes is the same for a part: operators allow five, and more for the same reasons.
	maxPartCrashes = 11
	// replacementDelay is the time from the crash of a replica to the start of its replacement.
	replacementDelay = 300 * time.Millisecond
)

// repeatCrashRequest sends the same crashing request again and again, with a new ID and
// to a random node each time.
func (s *soak) repeatCrashRequest(rng *rand.Rand, d time.Duration) {
	body := fmt.Sprint(crashBodyPrefix, rng.Uint64())
	n := s.countCrashes(rng, d, body, func(string) (string, string) { return body, "" })
	if n > maxCrashes {
		s.checker.addViolation("%d replicas ended under one request", n)
	}
}

// sendCrashParts sends prompts of which no two are alike and that share a part, to a random node each time.
func (s *soak) sendCrashParts(rng *rand.Rand, d time.Duration) {
	part := fmt.Sprintf("%s%08x", crashPartPrefix, rng.Uint32())
	n := s.countCrashes(rng, d, part, func(id string) (string, string) {
		return "prompt " + id, fmt.Sprintf("aa:500,%s:300,%x:100", part, rng.Uint32())
	})
	if n > maxPartCrashes {
		s.checker.addViolation("%d replicas ended under one part", n)
	}
}

// countCrashes sends requests for a time, and returns how many replicas crashed under their common cause.
func (s *soak) countCrashes(rng *rand.Rand, d time.Duration, cause string, next func(id string) (body, parts string)) int {
	for end := time.Now().Add(minCrashRequestTime + d); time.Now().Before(end); time.Sleep(crashRequestPause) {
		id := fmt.Sprint("deadly-", rng.Uint64())
		body, parts := next(id)
		go sendCrashRequest(s.anyNode(rng).entry(), id, body, parts) // Its connection's deadline ends it.
	}
	time.Sleep(clientTimeout)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.crashes[cause]
}

// crashCause returns what a replica crashes under that runs a request, "" if it does not crash.
func crashCause(q *onplatform.Request) string {
	if strings.HasPrefix(q.Body, crashBodyPrefix) {
		return q.Body
	}
	for p := range strings.SplitSeq(q.Header.Get("Prefix-Hash"), ",") {
		if id, _, _ := strings.Cut(p, ":"); strings.HasPrefix(id, crashPartPrefix) {
			return id
		}
	}
	return ""
}

// sendCrashRequest sends the request once and ignores the answer: the crashes are counted
// at the replicas.
func sendCrashRequest(entry, id, body, parts string) {
	conn, err := net.DialTimeout("tcp", entry, time.Second)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }() // The answer does not matter.
	_ = conn.SetDeadline(time.Now().Add(clientTimeout))
	_, _ = fmt.Fprintf(conn, "POST /%s/x HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nAuthorization: Bearer %s\r\nDeadline-Ms: %d\r\nConnection: close\r\nPrefix-Hash: %s\r\nContent-Length: %d\r\n\r\n%s",
		kindSafe, host, id, key, clientTimeout.Milliseconds(), parts, len(body), body)
	_, _ = io.Copy(io.Discard, conn)
}

// crashOnRequest crashes a replica that runs a crashing request; the replica is replaced and its
// row removed after replacementDelay.
func (s *soak) crashOnRequest(r *replica, cause string) {
	s.mu.Lock()
	i := slices.Index(s.replicas, r)
	if i >= 0 && !r.crashed {
		r.crashed = true
		s.crashes[cause]++
		go s.replaceCrashed(r, i)
	}
	s.mu.Unlock()
	r.proxy.Close()
}

func (s *soak) replaceCrashed(r *replica, i int) {
	time.Sleep(replacementDelay)
	s.mu.Lock()
	if s.replicas[i] == r {
		s.replaceReplica(i)
		s.retired = append(s.retired, r)
	}
	s.mu.Unlock()
	s.store.Delete(onplatform.TableUpstreams, r.ID)
}
