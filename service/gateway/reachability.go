package gateway

import (
	"errors"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/drumpath/drumpath/pkg/boottime"
	"github.com/drumpath/drumpath/pkg/locks"
	"github.com/drumpath/drumpath/pkg/route"
	"github.com/drumpath/drumpath/pkg/site"
	"github.com/drumpath/drumpath/pkg/timer"
	"github.com/drumpath/drumpath/service/suspects"
)

// reachability checks replicas that seem to have gone silent, and ends the requests in
// flight at those that can't be reached any more. route.Reachability decides; this makes
// the connections and carries out what follows.
type reachability struct {
	g        *Gateway
	state    *route.Reachability
	disabled bool

	counts checkCounts

	sampleMu locks.Mutex
	sample   networkSample // The last one.
}

// networkSample is the result of connecting to a few replicas to learn about the node's own
// network.
type networkSample struct {
	takenAt         time.Time
	reached, failed int
}

// checkCounts counts checks and what they led to, for metrics.
type checkCounts struct {
	alive        atomic.Int64
	gone         atomic.Int64
	partitioned  atomic.Int64
	inconclusive atomic.Int64
	unneeded     atomic.Int64
	contacts     atomic.Int64 // Connections to replicas after a silence.
	samples      atomic.Int64 // Connections made to learn about the node's own network.
}

const (
	// streamScanInterval is how often the requests in flight are searched for streams that
	// pause too long.
	streamScanInterval = 100 * time.Millisecond
	// maxCheckDelay is by how much later than planned a check may end for its result to
	// count. If it ends later the node itself was stopped or had no processor time, and
	// connections that were made in time may not have been noticed.
	maxCheckDelay = 150 * time.Millisecond
	// unansweredFactor is how many times its expected time an attempt must have waited for
	// its replica to be suspected.
	unansweredFactor = 2
	// sampleTerm is how long a sample of the network is valid.
	sampleTerm = time.Second
)

// errReplicaGone ends requests whose replica has failed a check, errPathLost those whose replica is
// reached by other nodes only. Like other errors of connections to replicas that can't be reached,
// they are timeouts.
var (
	errReplicaGone error = unreachableError("the replica can't be reached any more")
	errPathLost    error = unreachableError("this node's path to the replica is lost")
)

type unreachableError string

func (e unreachableError) Error() string { return string(e) }
func (unreachableError) Timeout() bool   { return true }
func (unreachableError) Temporary() bool { return false }

func newReachability(g *Gateway) *reachability {
	return &reachability{g: g, state: route.NewReachability(), disabled: g.conf().Disabled.ReachabilityCheck}
}

// suspect starts a check of a replica that this node or another failed to reach, if
// requests are in flight there.
func (r *reachability) suspect(u *site.Upstream, cause route.CheckCause) {
	if r == nil || r.disabled {
		return
	}
	r.start(r.g.conns.contact(u.ID, u.Addr), cause)
}

// report handles the report of another node that it can't reach a replica. If requests are
// in flight there the replica is checked. Otherwise it gets none before this node has
// connected to it, unless this node has just heard it.
func (r *reachability) report(p *route.Pool, u *site.Upstream) {
	if r == nil || r.disabled {
		return
	}
	c := r.g.conns.contact(u.ID, u.Addr)
	if r.g.conns.inFlight(c) > 0 {
		r.start(c, route.CheckAfterReport)
		return
	}
	if c.heardAt.Load() == 0 || c.silence() >= route.CheckSilence {
		p.RequireContact(u.ID)
	}
}

// unanswered handles an attempt that its client or its deadline ended after a silence of the
// replica. A plain call with a short time limit ends before an error tells that its replica
// can't be reached, and each idle connection would cost another call. If the silence is
// longer than expected, the replica is checked if other requests are in flight there, and
// otherwise connected to before the next one. As the connection of the attempt is closed,
// that costs no additional connection.
func (r *reachability) unanswered(p *route.Pool, a *attempt, silence time.Duration) {
	if r == nil || r.disabled || silence < max(route.CheckSilence, unansweredFactor*a.choice.Expected) {
		return
	}
	if a.conn != nil {
		r.g.conns.end(a.conn)
	}
	c := r.g.conns.contact(a.choice.ID, a.choice.Addr)
	switch {
	case c.silence() < route.CheckSilence:
	case r.g.conns.inFlight(c) > 0:
		r.start(c, route.CheckAfterPause)
	default:
		p.RequireContact(a.choice.ID)
	}
}

// scan starts checks of the replicas whose streams pause too long, and of those whose last
// check ended without a decision.
func (r *reachability) scan() {
	if r.disabled {
		return
	}
	now := boottime.Now()
	for c, overdue := range r.g.conns.silentContacts(now) {
		if overdue || r.state.Unresolved(c.id) || r.pathLost(c) {
			r.start(c, route.CheckAfterPause)
		}
	}
	r.state.Forget(now)
}

// pathLost reports whether the node's path to a replica counts as lost.
func (r *reachability) pathLost(c *contact) bool {
	if !r.g.forwarding.paths.AnyLost() {
		return false
	}
	_, u := r.g.replicaAt(c)
	return u != nil && r.g.forwarding.lost(u)
}

func (r *reachability) start(c *contact, cause route.CheckCause) {
	if r.g.ctx.Err() != nil || !r.state.Begin(c.id, cause, r.g.conns.inFlight(c), boottime.Now()) {
		return
	}
	r.g.wg.Go(func() { r.check(c, cause) })
}

// check checks a replica and carries out what follows.
func (r *reachability) check(c *contact, cause route.CheckCause) {
	startedAt, start := boottime.Now(), sinceStart()
	result, connected := r.run(c, start)
	ended := 0
	if result == route.CheckGone && c.silence() < route.EndSilence {
		ended = r.lose(c, func(f *flight) bool { return f.repeatable })
		result, connected = r.checkAgain(c)
	}
	r.finish(c, cause, result, connected, startedAt, c.silence(), ended)
}

// checkAgain checks a replica that is taken for gone once more before the requests there that can't
// be sent again end.
func (r *reachability) checkAgain(c *contact) (result route.CheckResult, connected bool) {
	start := sinceStart()
	for c.silence() < route.EndSilence {
		timer.Sleep(r.g.ctx, route.EndSilence-c.silence())
		switch {
		case c.heardAt.Load() > start:
			return route.CheckAlive, false
		case r.g.conns.inFlight(c) == 0, r.g.ctx.Err() != nil:
			return route.CheckGone, false
		}
	}
	return r.connect(c)
}

// finish carries out, records and logs the result of a check.
func (r *reachability) finish(c *contact, cause route.CheckCause, result route.CheckResult, connected bool, startedAt time.Time, silence time.Duration, ended int) {
	switch result {
	case route.CheckGone:
		ended += r.lose(c, func(*flight) bool { return true })
	case route.CheckPartitioned:
		ended += r.endRepeatable(c)
	default:
	}
	now := boottime.Now()
	if result == route.CheckAlive {
		for _, p := range r.g.siteState.Pools() {
			p.RecordContact(c.id, now)
		}
		if _, u := r.g.replicaAt(c); connected && u != nil {
			r.g.forwarding.recordConnected(u)
		}
	}
	r.state.Finish(c.id, result, connected, now)
	r.counts.count(result)
	r.g.log.Info("replica checked", "replica", c.id, "addr", c.addr, "cause", cause, "result", result,
		"quiet", silence, "after", now.Sub(startedAt), "ended", ended)
}

func (n *checkCounts) count(result route.CheckResult) {
	switch result {
	case route.CheckAlive:
		n.alive.Add(1)
	case route.CheckGone:
		n.gone.Add(1)
	case route.CheckPartitioned:
		n.partitioned.Add(1)
	case route.CheckInconclusive:
		n.inconclusive.Add(1)
	case route.CheckUnneeded:
		n.unneeded.Add(1)
	}
}

// replicaChecksStatus is the exported form of checkCounts.
type replicaChecksStatus struct {
	Alive        int64 `json:"alive"`
	Gone         int64 `json:"gone"`
	Partitioned  int64 `json:"partitioned"`
	Inconclusive int64 `json:"inconclusive"`
	Unneeded     int64 `json:"unneeded"`
	Ended        int64 `json:"ended"`
	Returns      int64 `json:"returns"`
	Samples      int64 `json:"samples"`
}

func (n *checkCounts) status(ended int64) replicaChecksStatus {
	return replicaChecksStatus{
		Alive:        n.alive.Load(),
		Gone:         n.gone.Load(),
		Partitioned:  n.partitioned.Load(),
		Inconclusive: n.inconclusive.Load(),
		Unneeded:     n.unneeded.Load(),
		Ended:        ended,
		Returns:      n.contacts.Load(),
		Samples:      n.samples.Load(),
	}
}

// replicaPathsStatus is what the node knows of its own paths to replicas.
type replicaPathsStatus struct {
	Heard       int `json:"heard"`
	Unreachable int `json:"unreachable"`
}

// paths counts the replicas from which something came within route.GoneTerm, and those that this
// node could not connect to within it.
func (r *reachability) paths(now time.Time) replicaPathsStatus {
	return replicaPathsStatus{
		Heard:       len(r.g.conns.heardSince(sinceStart() - int64(route.GoneTerm))),
		Unreachable: len(r.state.Unreachable(route.GoneTerm, now)),
	}
}

// run waits until the replica has been silent for long enough and connects to it.
func (r *reachability) run(c *contact, start int64) (result route.CheckResult, connected bool) {
	for c.silence() < route.CheckSilence {
		timer.Sleep(r.g.ctx, route.CheckSilence-c.silence())
		switch {
		case c.heardAt.Load() > start:
			return route.CheckAlive, false
		case r.g.conns.inFlight(c) == 0, r.g.ctx.Err() != nil:
			return route.CheckUnneeded, false
		}
	}
	r.state.Connecting(c.id, boottime.Now())
	return r.connect(c)
}

// connect connects to a replica and judges by the result whether it can be reached.
func (r *reachability) connect(c *contact) (result route.CheckResult, connected bool) {
	startedAt, start := boottime.Now(), sinceStart()
	conn, err := r.g.conns.dialTwice(c.id, c.addr)
	if err == nil {
		r.g.conns.put(c.id, conn)
		return route.CheckAlive, true
	}
	refused := suspects.NotListening(err)
	r.g.checkSuspension()
	switch took := boottime.Since(startedAt); {
	case !refused && !meansUnreachable(err), !r.g.synced(), took > route.CheckTimeout+maxCheckDelay, r.g.ctx.Err() != nil:
		return route.CheckInconclusive, false
	case c.heardAt.Load() > start, r.g.conns.hasUnread(c):
		return route.CheckAlive, false
	}
	return r.judge(c, start, err), false
}

// judge returns the result for a replica that can't be reached, from which nothing had come
// since start. Other nodes tell whether it is at fault. If none does, a refused connection shows
// that the network works, and otherwise what is known of the other replicas decides.
func (r *reachability) judge(c *contact, start int64, err error) route.CheckResult {
	fault := route.FaultUnknown
	if p, u := r.g.replicaAt(c); p != nil {
		fault = r.g.forwarding.faultOf(p, u, err, anyTime)
	}
	switch {
	case fault == route.FaultOfPath:
		return route.CheckPartitioned
	case fault == route.FaultOfReplica, suspects.NotListening(err):
		return route.CheckGone
	case r.networkAtFault(c, start):
		return route.CheckPartitioned
	}
	if c.heardAt.Load() > start { // While the network was judged.
		return route.CheckAlive
	}
	return route.CheckGone
}

// meansUnreachable reports whether an error of connecting says that there is no path to the
// replica, rather than that this node lacks descriptors or ports.
func meansUnreachable(err error) bool {
	return timedOut(err) || errors.Is(err, syscall.EHOSTUNREACH) || errors.Is(err, syscall.ENETUNREACH)
}

// timedOut reports whether an error is a timeout.
func timedOut(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}

// networkAtFault reports whether this node presumes its own network to be at fault.
func (r *reachability) networkAtFault(c *contact, start int64) bool {
	e, known := r.evidence(c, start)
	if e.NeedsSample() {
		s := r.sampleNetwork(known)
		e.SampleReached, e.SampleFailed = s.reached, s.failed
	}
	if !e.Partitioned() {
		return false
	}
	r.g.log.Warn("network presumed to be at fault", "replica", c.id, "replicas", e.Replicas, "unreachable", e.Unreachable,
		"failed", e.Failed, "heard", e.Heard, "sample_reached", e.SampleReached, "sample_failed", e.SampleFailed)
	return true
}

// evidence returns what is known of the node's network, and the replicas that this is
// known from.
func (r *reachability) evidence(c *contact, start int64) (e route.NetworkEvidence, known map[string]bool) {
	now := boottime.Now()
	unreachable := r.state.Unreachable(route.GoneTerm, now)
	unreachable[c.id] = true
	failed := r.state.Unreachable(time.Duration(sinceStart()-start), now)
	failed[c.id] = true
	known = r.g.conns.heardSince(start)
	for id := range unreachable {
		delete(known, id)
	}
	e.Heard, e.Unreachable, e.Failed = len(known), len(unreachable), len(failed)
	for id := range unreachable {
		known[id] = true
	}
	for _, p := range r.g.siteState.Pools() {
		all, _ := p.Count(now)
		e.Replicas += all
	}
	return e, known
}

// sampleNetwork connects to a few replicas drawn at random, apart from those in exclude.
// One that refuses the connection counts as reached, as the network works.
func (r *reachability) sampleNetwork(exclude map[string]bool) networkSample {
	r.sampleMu.Lock()
	defer r.sampleMu.Unlock()
	if !r.sample.takenAt.IsZero() && boottime.Since(r.sample.takenAt) < sampleTerm {
		return r.sample
	}
	var drawn []site.Upstream
	for _, p := range r.g.siteState.Pools() {
		drawn = append(drawn, p.Draw(route.PartitionSample, exclude)...)
	}
	rand.Shuffle(len(drawn), func(i, j int) { drawn[i], drawn[j] = drawn[j], drawn[i] })
	drawn = drawn[:min(len(drawn), route.PartitionSample)]
	var reached, failed atomic.Int64
	var done sync.WaitGroup
	for _, u := range drawn {
		done.Go(func() {
			conn, err := r.g.conns.dialTwice(u.ID, u.Addr)
			switch {
			case err == nil:
				r.g.conns.put(u.ID, conn)
				reached.Add(1)
			case suspects.NotListening(err):
				reached.Add(1)
			default:
				failed.Add(1)
			}
		})
	}
	done.Wait()
	r.counts.samples.Add(int64(len(drawn)))
	r.sample = networkSample{takenAt: boottime.Now(), reached: int(reached.Load()), failed: int(failed.Load())}
	return r.sample
}

// lose ejects a replica that can't be reached, ends the requests in flight there for which ends
// returns true, and returns how many there were.
func (r *reachability) lose(c *contact, ends func(*flight) bool) (ended int) {
	now := boottime.Now()
	for _, p := range r.g.siteState.Pools() {
		u, ok := p.Upstream(c.id)
		if ok && u.Addr == c.addr && p.RecordGone(c.id, now) {
			r.g.nodes.announceUnreachable(route.RefOf(&u))
		}
	}
	r.g.conns.distrust(&site.Upstream{ID: c.id, Addr: c.addr})
	r.g.cacheIndex.AvoidEngine(c.id, now.Add(unreachableFetchPause))
	return r.g.conns.abortFlights(c, errReplicaGone, ends)
}

// endRepeatable ends those of the requests in flight at a replica that may be sent again, if other
// nodes reach it and can forward them, and returns how many there were.
func (r *reachability) endRepeatable(c *contact) (ended int) {
	if _, u := r.g.replicaAt(c); u == nil || !r.g.forwarding.lost(u) || !r.g.forwarding.paths.AtFault(u) {
		return 0
	}
	return r.g.conns.abortFlights(c, errPathLost, func(f *flight) bool { return f.repeatable })
}

// replicaAt returns the replica of a contact and its pool, nil if it is not listed any more.
func (g *Gateway) replicaAt(c *contact) (*route.Pool, *site.Upstream) {
	for _, p := range g.siteState.Pools() {
		if u, ok := p.Upstream(c.id); ok && u.Addr == c.addr {
			return p, &u
		}
	}
	return nil, nil
}

// notConnected judges a replica to which a request could not connect in time. If requests
// are in flight there it is checked, as they must not end for the loss of one packet;
// otherwise the failure itself is the check.
func (r *reachability) notConnected(u *site.Upstream, err error) {
	if r == nil || r.disabled || !timedOut(err) {
		return
	}
	c := r.g.conns.contact(u.ID, u.Addr)
	if r.g.conns.inFlight(c) > 0 {
		return // recordUnreachable has started a check.
	}
	startedAt := boottime.Now().Add(-upstreamDialTimeout)
	start := sinceStart() - int64(upstreamDialTimeout)
	if c.heardAt.Load() > start || r.g.ctx.Err() != nil || !r.state.Begin(c.id, route.CheckAfterError, 1, boottime.Now()) {
		return
	}
	r.state.Connecting(c.id, startedAt)
	r.g.wg.Go(func() {
		result := route.CheckInconclusive
		if r.g.synced() {
			result = r.judge(c, start, err)
		}
		r.finish(c, route.CheckAfterError, result, false, startedAt, c.silence(), 0)
	})
}

// makeContacts connects to the replicas that a pick requested connections to: they were
// silent, and are used again once they accept one.
func (r *reachability) makeContacts(p *route.Pool, in *route.PickInput) {
	list := in.Contact
	in.Contact = nil
	if r == nil || r.disabled {
		return
	}
	for _, u := range list {
		c := r.g.conns.contact(u.ID, u.Addr)
		if r.g.ctx.Err() != nil || !r.state.Begin(u.ID, route.CheckAfterError, 1, boottime.Now()) {
			continue
		}
		r.g.wg.Go(func() { r.makeContact(p, c) })
	}
}

func (r *reachability) makeContact(p *route.Pool, c *contact) {
	startedAt, silence := boottime.Now(), c.silence()
	r.counts.contacts.Add(1)
	r.state.Connecting(c.id, startedAt)
	result, connected := r.connect(c)
	if result == route.CheckPartitioned {
		p.TrustAgain(c.id)
	}
	r.finish(c, route.CheckAfterEjection, result, connected, startedAt, silence, 0)
}

// reportUnreachable starts a check of a replica that another node can't reach.
func (n *nodes) reportUnreachable(p *route.Pool, ref route.ReplicaRef) {
	if n.onUnreachable == nil {
		return
	}
	if u, ok := p.Find(ref); ok {
		n.onUnreachable(p, &u)
	}
}
