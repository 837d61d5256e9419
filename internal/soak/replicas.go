package soak

import (
	"fmt"
	"io"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/drumpath/drumpath/internal/netproxy"
	"github.com/drumpath/drumpath/internal/standin/onplatform"
)

// Ways in which a replica treats requests.
const (
	replicaServes int32 = iota
	replicaFails
	replicaHangs
	replicaRefuses
	replicaCuts
	replicaWays
)

// workTime is how long a replica works on a request or an event of a stream.
const workTime = 15 * time.Millisecond

// replica is one replica behind a proxy.
type replica struct {
	*onplatform.Replica
	proxy  *netproxy.Proxy
	ledger *ledger
	way    atomic.Int32
	// deadly is told of a request under which the replica is to end.
	deadly func(r *replica, body string)
	ending bool // It has ended under a request; soak.mu guards it.

	drains  atomic.Bool  // It says so in its answers.
	backoff atomic.Int64 // That it asks for with refusals, in nanoseconds; 0 for none.
	nodeOf  func(name string) *node
	toldMu  sync.Mutex
	told    map[*node]*told
}

func (s *soak) newReplica() (*replica, error) {
	s.made++
	id := fmt.Sprintf("replica-%d", s.made)
	r := &replica{ledger: s.ledger, deadly: s.endUnder, nodeOf: s.nodeOf, told: map[*node]*told{}}
	var err error
	if r.Replica, err = onplatform.NewReplica(id); err != nil {
		return nil, err
	}
	r.Script(r.answer)
	r.proxy, err = netproxy.New(r.Addr())
	return r, err
}

func (r *replica) close() {
	r.proxy.Close()
	r.Close()
}

// answer runs a request, or does not, as the replica now is.
func (r *replica) answer(w io.Writer, q *onplatform.Request) bool {
	way := r.way.Load()
	w = fieldWriter{w, r.hear(q, way == replicaRefuses)}
	if way == replicaRefuses {
		return onplatform.NotExecuted(503)(w, q)
	}
	if strings.HasPrefix(q.Body, deadlyBody) {
		time.Sleep(workTime)
		r.deadly(r, q.Body)
		return false
	}
	id := q.ID()
	r.ledger.run(id)
	if !strings.HasPrefix(q.Body, id+" ") || !strings.HasSuffix(q.Body, " "+id) {
		r.ledger.fail("replica %s got a body of %d bytes that is not that of %s", r.ID, len(q.Body), id)
	}
	if q.Header.Get("Authorization") != "" || q.Header.Get("Tenant") != tenant {
		r.ledger.fail("replica %s got %s with a key or as %q", r.ID, id, q.Header.Get("Tenant"))
	}
	time.Sleep(workTime)
	switch way {
	case replicaFails:
		return onplatform.Failed(w, q)
	case replicaHangs:
		return onplatform.Hang(w, q)
	case replicaCuts:
		_, _ = io.WriteString(w, onplatform.Head(q, 200, 5000)+"cut") // The reader sees the rest missing.
		return false
	}
	if strings.HasPrefix(q.Target, "/"+kindStream+"/") {
		return onplatform.Stream(eventsOf(id), workTime, true)(w, q)
	}
	return onplatform.OK(answerOf(kindOnce, id))(w, q)
}
