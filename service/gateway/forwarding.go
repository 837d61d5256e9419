package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync/atomic"
	"time"

	"github.com/drumpath/drumpath/pkg/boottime"
	"github.com/drumpath/drumpath/pkg/control"
	"github.com/drumpath/drumpath/pkg/locks"
	"github.com/drumpath/drumpath/pkg/route"
	"github.com/drumpath/drumpath/pkg/site"
	"github.com/drumpath/drumpath/pkg/timer"
	"github.com/drumpath/drumpath/service/suspects"
)

// forwarding sends requests through other nodes while this node can't connect to their replicas,
// and forwards those of other nodes. route.Paths decides; this makes the connections.
//
// The node that has received a request keeps all decisions about it: admission, the choice of the
// replica, budgets, attempts and the answer. The other node only sends it, over one of its own
// connections to the replica, so a request is forwarded once at most.
type forwarding struct {
	g        *Gateway
	disabled bool
	paths    *route.Paths
	conns    *upstreamConns // Streams to other nodes, by their names.
	counts   forwardCounts

	peersMu locks.Mutex
	view    *control.View // The view for which peers and addrs were computed.
	peers   []route.Peer
	addrs   map[string]netip.AddrPort

	surveysMu locks.Mutex
	surveys   map[string]*survey // By the replica's ID.
	drawnAt   time.Time          // When replicas were last drawn by retryPaths.
}

// forwardCounts counts forwarded requests, for metrics.
type forwardCounts struct {
	sent      atomic.Int64 // Attempts that were sent to other nodes.
	notSent   atomic.Int64 // Of those, the ones that the other node did not send on.
	served    atomic.Int64 // Requests sent on for other nodes.
	notServed atomic.Int64 // Requests of other nodes that were not sent on.
	serving   atomic.Int64 // Requests of other nodes in flight.
	surveys   atomic.Int64
	asked     atomic.Int64 // Calls to other nodes whether they reach a replica.
}

const (
	// maxForwardTries is how many nodes may fail to forward a request before it is given up.
	maxForwardTries = 3
	// opinionTimeout bounds a call to another node, which may connect to the replica for it.
	opinionTimeout = route.CheckTimeout + 50*time.Millisecond
	// surveyTerm is how long the result of a survey is valid.
	surveyTerm = 500 * time.Millisecond
	// pathRetryInterval is how often lost paths are looked at.
	pathRetryInterval = 100 * time.Millisecond
	// maxPathRetries bounds the connections that are tried at each time, and pathDrawInterval is the
	// time between two draws of replicas whose paths count as lost for those of others.
	maxPathRetries   = 4
	pathDrawInterval = 250 * time.Millisecond
)

// errNoForwarder means that no other node is known that reaches the replica.
var errNoForwarder = errors.New("no node is known that reaches the replica")

func newForwarding(g *Gateway) *forwarding {
	f := &forwarding{
		g:        g,
		disabled: g.conf().Disabled.Forwarding,
		paths:    route.NewPaths(newRand()),
		conns:    newUpstreamConns(),
		surveys:  map[string]*survey{},
	}
	f.conns.dialTCP = g.client.DialStream
	return f
}

// enabled reports whether there are other nodes that requests may be forwarded to.
func (f *forwarding) enabled() bool {
	return f != nil && !f.disabled && f.g.nodes.members.View().Counts().Alive > 1
}

// lost reports whether the node has no path to a replica for new connections.
func (f *forwarding) lost(u *site.Upstream) bool {
	return f != nil && f.paths.AnyLost() && f.enabled() && f.paths.Lost(u)
}

// peerList lists the other nodes that are alive, with their addresses; the caller must not change
// the results.
func (f *forwarding) peerList() ([]route.Peer, map[string]netip.AddrPort) {
	view := f.g.nodes.members.View()
	f.peersMu.Lock()
	defer f.peersMu.Unlock()
	if f.view == view {
		return f.peers, f.addrs
	}
	f.view, f.peers, f.addrs = view, nil, map[string]netip.AddrPort{}
	for _, m := range view.Alive() {
		if m.Name != f.g.nodes.self.Name {
			f.peers = append(f.peers, route.Peer{Name: m.Name, DataHall: m.DataHall})
			f.addrs[m.Name] = m.Peer
		}
	}
	return f.peers, f.addrs
}

// via is the node that forwards an attempt.
type via struct {
	name string
	end  func() // Ends its count as in flight there.
}

// connect returns a connection to a node that reaches the replica. tried are the nodes that have
// failed for this request.
func (f *forwarding) connect(ctx context.Context, u *site.Upstream, tried *[]string, maxIdle time.Duration) (*upstreamConn, *via, error) {
	for len(*tried) <= maxForwardTries && ctx.Err() == nil {
		peers, addrs := f.peerList()
		peer, ok := f.paths.ChooseForwarder(peers, f.g.nodes.self.DataHall, *tried, boottime.Now())
		if !ok {
			if f.paths.NoForwarder(boottime.Now()) {
				break
			}
			f.survey(ctx, u, upstreamDialTimeout, anyTime)
			if peer, ok = f.paths.ChooseForwarder(peers, f.g.nodes.self.DataHall, *tried, boottime.Now()); !ok {
				break
			}
		}
		conn, err := f.conns.get(peer.Name, addrs[peer.Name], maxIdle)
		if err != nil {
			f.paths.PauseForwarder(peer.Name, boottime.Now())
			*tried = append(*tried, peer.Name)
			continue
		}
		return conn, &via{name: peer.Name, end: f.paths.BeginForward(peer.Name)}, nil
	}
	return nil, nil, errNoForwarder
}

// reportFailure handles a connection to a replica that this node could not make. Before it takes
// the replica for unreachable, it asks other nodes: its own path may be at fault.
func (f *forwarding) reportFailure(p *route.Pool, u *site.Upstream, err error) {
	now := boottime.Now()
	if !f.enabled() {
		f.g.recordNotReached(p, u, err, now)
		return
	}
	p.Avoid(u.ID, now.Add(opinionTimeout))
	f.g.conns.distrust(u)
	if !f.paths.RecordFailure(u, now) && f.paths.AtFault(u) {
		return
	}
	f.g.wg.Go(func() {
		fault, first := f.survey(f.g.ctx, u, connectTime(err), anyTime)
		if fault != route.FaultOfPath {
			f.g.recordNotReached(p, u, err, boottime.Now())
		}
		if first {
			f.g.log.Warn("path to replica lost", "replica", u.ID, "addr", u.Addr, "fault", string(fault), "err", err)
		}
	})
}

// survey is a question to other nodes whether they reach a replica.
type survey struct {
	done    chan struct{}
	fault   route.Fault
	endedAt time.Time // Zero while it is under way.
	// heardFrom is the earliest time at which bytes of the replica count for it.
	heardFrom time.Time
}

// connectTime is for how long a connection that was not made had been tried.
func connectTime(err error) time.Duration {
	if timedOut(err) {
		return route.CheckTimeout
	}
	return 0
}

// survey asks other nodes whether they reach a replica, to which this one has tried to connect for
// a time. Several callers share one survey; first is true for the one that made it. What other nodes heard before
// since does not count.
func (f *forwarding) survey(ctx context.Context, u *site.Upstream, connecting time.Duration, since time.Time) (fault route.Fault, first bool) {
	f.surveysMu.Lock()
	s := f.surveys[u.ID]
	if s == nil || s.heardFrom.Before(since) || !s.endedAt.IsZero() && boottime.Since(s.endedAt) > surveyTerm {
		s, first = &survey{done: make(chan struct{}), fault: route.FaultUnknown, heardFrom: boottime.Now().Add(-connecting)}, true
		f.surveys[u.ID] = s
	}
	f.surveysMu.Unlock()
	if first {
		f.g.wg.Go(func() { f.runSurvey(s, u, connecting) })
	}
	select {
	case <-s.done:
		return s.fault, first
	case <-ctx.Done():
		return route.FaultUnknown, first
	}
}

func (f *forwarding) runSurvey(s *survey, u *site.Upstream, connecting time.Duration) {
	fault := f.askPeers(u, connecting)
	now := boottime.Now()
	switch fault {
	case route.FaultOfPath:
		f.paths.Confirm(u.ID)
		for _, p := range f.g.siteState.Pools() {
			p.TrustAgain(u.ID)
		}
	case route.FaultOfReplica:
		f.paths.Forget(u.ID)
	case route.FaultUnknown:
		f.paths.RecordNoForwarder(now)
	}
	f.surveysMu.Lock()
	defer f.surveysMu.Unlock()
	s.fault, s.endedAt = fault, now
	close(s.done)
}

// askPeers asks ever more nodes, drawn at random, until their opinions tell whose fault it is.
func (f *forwarding) askPeers(u *site.Upstream, connecting time.Duration) route.Fault {
	f.counts.surveys.Add(1)
	peers, addrs := f.peerList()
	order := slices.Clone(peers)
	rand.Shuffle(len(order), func(i, j int) { order[i], order[j] = order[j], order[i] })
	for _, n := range route.SurveySizes {
		n = min(n, len(order))
		if fault := f.askSome(u, order[:n], addrs, connecting); fault != route.FaultUnknown {
			return fault
		}
		order = order[n:]
	}
	return route.FaultUnknown
}

// askSome asks some nodes at once. It returns as soon as one reaches the replica.
func (f *forwarding) askSome(u *site.Upstream, peers []route.Peer, addrs map[string]netip.AddrPort, connecting time.Duration) route.Fault {
	answers := make(chan route.Opinion, len(peers))
	for _, peer := range peers {
		f.g.wg.Go(func() { answers <- f.ask(u, peer.Name, addrs[peer.Name], connecting) })
	}
	opinions := make([]route.Opinion, 0, len(peers))
	for range peers {
		o := <-answers
		if opinions = append(opinions, o); o == route.OpinionReached {
			break
		}
	}
	return route.FaultOf(opinions)
}

// ask asks a node whether it reaches a replica.
func (f *forwarding) ask(u *site.Upstream, name string, addr netip.AddrPort, connecting time.Duration) route.Opinion {
	f.counts.asked.Add(1)
	ctx, cancel := context.WithTimeout(f.g.ctx, opinionTimeout)
	defer cancel()
	var out opinionReply
	if err := f.g.client.Call(ctx, addr, methodOpinion, opinionRequest{Replica: newForwardedReplica(u), SinceMS: connecting.Milliseconds()}, &out); err != nil {
		f.g.log.Debug("no opinion", "peer", addr, "replica", u.ID, "err", err)
		return route.OpinionNone
	}
	if out.Opinion != route.OpinionNone {
		f.paths.RecordForwarder(name, out.Load, boottime.Now())
	}
	return out.Opinion
}

// retryPaths connects to some of the replicas whose paths are lost; the timer service calls it.
func (f *forwarding) retryPaths(context.Context) {
	now := boottime.Now()
	f.abortDeadPeers()
	f.conns.prune(now)
	f.paths.ForgetForwarders(now)
	f.forgetSurveys(now)
	if !f.paths.AnyLost() {
		return
	}
	due := f.paths.DueRetries(maxPathRetries, now)
	if now.Sub(f.drawnAt) >= pathDrawInterval {
		f.drawnAt = now
		lost := f.paths.LostIDs()
		for _, p := range f.g.siteState.Pools() {
			due = append(due, slices.DeleteFunc(p.Draw(1, lost), func(u site.Upstream) bool { return !f.paths.Lost(&u) })...)
		}
	}
	for _, u := range due {
		p, listed := f.g.poolOf(&u)
		if !listed {
			f.paths.Forget(u.ID)
			continue
		}
		f.g.wg.Go(func() { f.retryPath(p, &u) })
	}
}

func (f *forwarding) retryPath(p *route.Pool, u *site.Upstream) {
	conn, err := f.g.conns.dialTwice(u.ID, u.Addr)
	if err != nil {
		f.paths.RecordFailure(u, boottime.Now())
		return
	}
	f.g.conns.put(u.ID, conn)
	f.recordConnected(u)
	p.RecordContact(u.ID, boottime.Now())
}

// recordConnected records that this node has made a connection to a replica.
func (f *forwarding) recordConnected(u *site.Upstream) {
	if f == nil {
		return
	}
	if lostFor := f.paths.RecordConnected(u, boottime.Now()); lostFor > 0 {
		f.g.log.Warn("path to replica back", "replica", u.ID, "addr", u.Addr, "after", lostFor)
	}
}

// abortDeadPeers ends the requests in flight at nodes that are not known to live.
func (f *forwarding) abortDeadPeers() {
	_, addrs := f.peerList()
	for c := range f.conns.silentContacts(boottime.Now()) {
		if _, alive := addrs[c.id]; !alive {
			f.conns.abortFlights(c, errNodeGone, func(*flight) bool { return true })
		}
	}
}

func (f *forwarding) forgetSurveys(now time.Time) {
	f.surveysMu.Lock()
	defer f.surveysMu.Unlock()
	for id, s := range f.surveys {
		if !s.endedAt.IsZero() && now.Sub(s.endedAt) > surveyTerm {
			delete(f.surveys, id)
		}
	}
}

// poolOf returns the pool that has a replica, if this node knows the same start of it.
func (g *Gateway) poolOf(u *site.Upstream) (*route.Pool, bool) {
	p := g.siteState.Pool(u.Service)
	if p == nil {
		return nil, false
	}
	known, ok := p.Find(route.RefOf(u))
	return p, ok && known.Addr == u.Addr
}

// recordNotReached records that a replica accepts no connections.
func (g *Gateway) recordNotReached(p *route.Pool, u *site.Upstream, err error, now time.Time) {
	g.recordUnreachable(p, u, now)
	g.reach.notConnected(u, err)
	if suspects.NotListening(err) {
		g.suspects.RecordNotListening(suspects.StartKeyOf(u.ID, u.Started), now)
	}
}

// forwardingStatus is the exported state of forwarding.
type forwardingStatus struct {
	Lost      route.PathStatus `json:"lost"`
	Sent      int64            `json:"sent"`
	NotSent   int64            `json:"not_sent"`
	Served    int64            `json:"served"`
	NotServed int64            `json:"not_served"`
	Serving   int64            `json:"serving"`
	Surveys   int64            `json:"surveys"`
	Asked     int64            `json:"asked"`
}

func (f *forwarding) status(now time.Time) forwardingStatus {
	return forwardingStatus{
		Lost:      f.paths.Status(now),
		Sent:      f.counts.sent.Load(),
		NotSent:   f.counts.notSent.Load(),
		Served:    f.counts.served.Load(),
		NotServed: f.counts.notServed.Load(),
		Serving:   f.counts.serving.Load(),
		Surveys:   f.counts.surveys.Load(),
		Asked:     f.counts.asked.Load(),
	}
}

// errNodeGone ends requests at a node that is not known to live any more.
var errNodeGone error = unreachableError("the node that forwards the request is gone")

// outcomeOfFailure is how a connection that was not made counts for its replica: not at all while
// other nodes may tell that this node's path is at fault.
func (f *forwarding) outcomeOfFailure() route.Outcome {
	if f.enabled() {
		return route.OutcomeNeutral
	}
	return route.OutcomeFailed
}

// anyTime admits all that other nodes have heard.
var anyTime time.Time

// faultOf asks other nodes about a replica to which this node could not connect, and which may have ended at since.
func (f *forwarding) faultOf(p *route.Pool, u *site.Upstream, err error, since time.Time) route.Fault {
	if !f.enabled() {
		return route.FaultUnknown
	}
	fault, _ := f.survey(f.g.ctx, u, connectTime(err), since)
	if fault == route.FaultOfPath {
		f.reportFailure(p, u, err)
	}
	return fault
}

// resurvey asks other nodes about a replica that a node could not reach for this one.
func (f *forwarding) resurvey(p *route.Pool, u *site.Upstream) {
	if f.g.ctx.Err() != nil {
		return
	}
	f.g.wg.Go(func() {
		if fault, _ := f.survey(f.g.ctx, u, 0, anyTime); fault == route.FaultOfReplica {
			f.g.recordUnreachable(p, u, boottime.Now())
		}
	})
}

// drain waits until the requests of other nodes have ended, or ctx has.
func (f *forwarding) drain(ctx context.Context) {
	for f.counts.serving.Load() > 0 && ctx.Err() == nil {
		timer.Sleep(ctx, drainPollInterval)
	}
}

// drainPollInterval is how often a stopping node looks whether it still forwards requests.
const drainPollInterval = 20 * time.Millisecond
