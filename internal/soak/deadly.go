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
	// deadlyBody begins the body of a request under which each replica ends that runs it.
	deadlyBody = "deadly "
	// deadlyEvery is the pause between two repeats, deadlyTime for how long they come at
	// least.
	deadlyEvery = 50 * time.Millisecond
	deadlyTime  = 4 * time.Second
	// deadlyMost is under how many replicas' ends one is let through: three, and as many
	// for nodes that start anew while the store is away, or are cut off from the others.
	deadlyMost = 9
	// backTime is after how long another replica comes in the place of one that ended.
	backTime = 300 * time.Millisecond
)

// repeatDeadly has a caller send one request again and again, with a new ID each time, at
// any node.
func (s *soak) repeatDeadly(rng *rand.Rand, d time.Duration) {
	body := fmt.Sprint(deadlyBody, rng.Uint64())
	for end := time.Now().Add(deadlyTime + d); time.Now().Before(end); time.Sleep(deadlyEvery) {
		id := fmt.Sprint("deadly-", rng.Uint64())
		go sendDeadly(s.anyNode(rng).entry(), id, body) // It ends by its deadline.
	}
	time.Sleep(patience)
	s.mu.Lock()
	defer s.mu.Unlock()
	if n := s.ended[body]; n > deadlyMost {
		s.ledger.fail("%d replicas ended under one request", n)
	}
}

// sendDeadly sends it once; what comes of it the replicas tell.
func sendDeadly(entry, id, body string) {
	conn, err := net.DialTimeout("tcp", entry, time.Second)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }() // Nothing of it is wanted.
	_ = conn.SetDeadline(time.Now().Add(patience))
	_, _ = fmt.Fprintf(conn, "POST /%s/x HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nAuthorization: Bearer %s\r\nDeadline-Ms: %d\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s",
		kindSafe, host, id, key, patience.Milliseconds(), len(body), body)
	_, _ = io.Copy(io.Discard, conn)
}

// endUnder ends a replica under a request; another comes in its place, and its entry goes
// later.
func (s *soak) endUnder(r *replica, body string) {
	s.mu.Lock()
	i := slices.Index(s.replicas, r)
	if i >= 0 && !r.ending {
		r.ending = true
		s.ended[body]++
		go s.comeBack(r, i)
	}
	s.mu.Unlock()
	r.proxy.Close()
}

func (s *soak) comeBack(r *replica, i int) {
	time.Sleep(backTime)
	s.mu.Lock()
	if s.replicas[i] == r {
		s.replace(i)
		s.gone = append(s.gone, r)
	}
	s.mu.Unlock()
	s.store.Delete(onplatform.TableUpstreams, r.ID)
}
