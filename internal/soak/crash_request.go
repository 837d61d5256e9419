package soak

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"slices"
	"time"

	"github.com/drumpath/drumpath/internal/standin/onplatform"
)

const (
	// crashBodyPrefix begins the body of a request that crashes each replica that runs it.
	crashBodyPrefix = "deadly "
	// crashRequestPause is the pause between two repeats of such a request;
	// minCrashRequestTime is the minimum time for which it is repeated.
	crashRequestPause   = 50 * time.Millisecond
	minCrashRequestTime = 4 * time.Second
	// maxCrashes is how many replicas one such request may crash: three before the nodes
	// block it, and more for nodes that restart while the store is unavailable or that
	// are partitioned from the others.
	maxCrashes = 9
	// replacementDelay is the time from the crash of a replica to the start of its replacement.
	replacementDelay = 300 * time.Millisecond
)

// repeatCrashRequest sends the same crashing request again and again, with a new ID and
// to a random node each time.
func (s *soak) repeatCrashRequest(rng *rand.Rand, d time.Duration) {
	body := fmt.Sprint(crashBodyPrefix, rng.Uint64())
	for end := time.Now().Add(minCrashRequestTime + d); time.Now().Before(end); time.Sleep(crashRequestPause) {
		id := fmt.Sprint("deadly-", rng.Uint64())
		go sendCrashRequest(s.anyNode(rng).entry(), id, body) // Its connection's deadline ends it.
	}
	time.Sleep(clientTimeout)
	s.mu.Lock()
	defer s.mu.Unlock()
	if n := s.crashes[body]; n > maxCrashes {
		s.checker.addViolation("%d replicas ended under one request", n)
	}
}

// sendCrashRequest sends the request once and ignores the answer: the crashes are counted
// at the replicas.
func sendCrashRequest(entry, id, body string) {
	conn, err := net.DialTimeout("tcp", entry, time.Second)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }() // The answer does not matter.
	_ = conn.SetDeadline(time.Now().Add(clientTimeout))
	_, _ = fmt.Fprintf(conn, "POST /%s/x HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nAuthorization: Bearer %s\r\nDeadline-Ms: %d\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s",
		kindSafe, host, id, key, clientTimeout.Milliseconds(), len(body), body)
	_, _ = io.Copy(io.Discard, conn)
}

// crashOnRequest crashes a replica that runs a crashing request; the replica is replaced and its
// row removed after replacementDelay.
func (s *soak) crashOnRequest(r *replica, body string) {
	s.mu.Lock()
	i := slices.Index(s.replicas, r)
	if i >= 0 && !r.crashed {
		r.crashed = true
		s.crashes[body]++
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
