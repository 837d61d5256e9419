package soak

import (
	"cmp"
	"fmt"
	"io"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/drumpath/drumpath/internal/netproxy"
	"github.com/drumpath/drumpath/internal/standin/onplatform"
)

// Behaviours of a replica towards requests.
const (
	behaviourServe int32 = iota
	behaviourFail
	behaviourHang
	behaviourRefuse
	behaviourCut
	behaviourCount
)

// workTime is how long a replica takes for a request and for each event of a stream.
const workTime = 15 * time.Millisecond

// replica is a replica behind a proxy.
type replica struct {
	*onplatform.Replica
	proxy     *netproxy.Proxy
	version   string // Of its software.
	checker   *checker
	behaviour atomic.Int32
	// onCrashRequest is called for a request that crashes the replica, with what it crashes under.
	onCrashRequest func(r *replica, cause string)
	crashed        bool // By a request; guarded by soak.mu.

	draining   atomic.Bool  // Its answers announce a drain.
	backoff    atomic.Int64 // Asked for with refusals, in nanoseconds; 0 for none.
	nodeByName func(name string) *node
	adviceMu   sync.Mutex
	advice     map[*node]*advice
}

func (s *soak) newReplica() (*replica, error) {
	s.replicasMade++
	id := fmt.Sprintf("replica-%d", s.replicasMade)
	r := &replica{checker: s.checker, version: cmp.Or(s.software, fmt.Sprintf("v%d", s.replicasMade%softwareVersions)), onCrashRequest: s.crashOnRequest, nodeByName: s.nodeByName, advice: map[*node]*advice{}}
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

// answer handles a request by the current behaviour of the replica.
func (r *replica) answer(w io.Writer, q *onplatform.Request) bool {
	behaviour := r.behaviour.Load()
	w = headerWriter{w, r.checkRequest(q, behaviour == behaviourRefuse)}
	if behaviour == behaviourRefuse {
		return onplatform.NotExecuted(503)(w, q)
	}
	if cause := crashCause(q); cause != "" {
		time.Sleep(workTime)
		if strings.HasPrefix(cause, crashPartPrefix) && rand.IntN(2) == 0 {
			onplatform.UnframedStream([]string{"id: 1\ndata: piece\n\n"}, workTime)(w, q)
		}
		r.onCrashRequest(r, cause)
		return false
	}
	id := q.ID()
	r.checker.recordRun(id)
	if !strings.HasPrefix(q.Body, id+" ") || !strings.HasSuffix(q.Body, " "+id) {
		r.checker.addViolation("replica %s got a body of %d bytes that is not that of %s", r.ID, len(q.Body), id)
	}
	if q.Header.Get("Authorization") != "" || q.Header.Get("Tenant") != tenant {
		r.checker.addViolation("replica %s got %s with a key or as %q", r.ID, id, q.Header.Get("Tenant"))
	}
	time.Sleep(workTime)
	switch behaviour {
	case behaviourFail:
		return onplatform.Failed(w, q)
	case behaviourHang:
		return onplatform.Hang(w, q)
	case behaviourCut:
		if strings.HasPrefix(q.Target, "/"+kindResume+"/") {
			break
		}
		_, _ = io.WriteString(w, onplatform.Head(q, 200, 5000)+"cut") // The reader notices the missing rest.
		return false
	}
	if strings.HasPrefix(q.Target, "/"+kindResume+"/") {
		return r.resume(w, q)
	}
	if strings.HasPrefix(q.Target, "/"+kindStream+"/") {
		return onplatform.Stream(expectedEvents(id), workTime, true)(w, q)
	}
	return onplatform.OK(expectedAnswer(kindOnce, id))(w, q)
}
